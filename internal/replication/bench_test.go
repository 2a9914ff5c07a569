package replication

import (
	"testing"
	"time"
)

func BenchmarkAsked(b *testing.B) {
	h := NewHome[testKey]()
	now := epoch
	for i := range b.N {
		now = now.Add(time.Millisecond)
		h.Asked(testKey(i%5000), request, now)
	}
}

func BenchmarkPlans(b *testing.B) {
	h := NewHome[testKey]()
	now := epoch
	for b.Loop() {
		for i := range 4 {
			now = now.Add(25 * time.Millisecond)
			h.Asked(testKey(i), request, now)
		}
		h.Plans(roomy, now)
	}
}

func BenchmarkMost(b *testing.B) {
	e := NewEstimator[testKey](MaxKeys)
	for i := range MaxKeys {
		e.Add(testKey(i), request, epoch.Add(time.Duration(i)*time.Millisecond))
	}
	for b.Loop() {
		e.Most(16, 2, epoch.Add(2*time.Second))
	}
}
