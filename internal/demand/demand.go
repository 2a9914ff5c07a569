// Package demand estimates, in bounded memory, how often each model is asked
// for, and what will be asked for next.
//
// Estimates are hints: they decide what is loaded and evicted, never whether
// a request may run. They decay, so a shift of popularity shows in seconds.
package demand

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Decay times of the two rates that are kept of each model.
const (
	fastDecay = 20 * time.Second
	slowDecay = 10 * time.Minute
)

const (
	shardCount   = 16
	hoursPerDay  = 24
	habitGain    = 64
	habitMax     = 255
	habitLikely  = 96
	risingFactor = 2
	risingLeast  = 0.1
)

// Count is a number of requests for a model.
type Count struct {
	Model string  `json:"m"`
	N     float64 `json:"n"`
}

// Estimator holds the estimates. It is safe for concurrent use; its models
// are divided into shards with a lock each.
type Estimator struct {
	perShard int
	shards   [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	models map[string]*estimate
}

// estimate is what is known of one model. fast and slow are decayed counts;
// habit holds for each hour of the day how regularly the model was used in it.
type estimate struct {
	fast, slow float64
	at         time.Time
	habit      [hoursPerDay]uint8
	habitDay   int
	habitHour  int
}

// NewEstimator makes an estimator for up to so many models.
func NewEstimator(limit int) *Estimator {
	e := &Estimator{perShard: max(1, limit/shardCount)}
	for i := range e.shards {
		e.shards[i].models = map[string]*estimate{}
	}
	return e
}

func (e *Estimator) shard(model string) *shard {
	return &e.shards[xxhash.Sum64String(model)%shardCount]
}

// Add counts n requests for a model.
func (e *Estimator) Add(model string, n float64, now time.Time) {
	s := e.shard(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	est := s.models[model]
	if est == nil {
		if len(s.models) >= e.perShard {
			s.dropLeast(now)
		}
		est = &estimate{at: now, habitHour: -1}
		s.models[model] = est
	}
	est.decay(now)
	est.fast += n
	est.slow += n
	est.learnHour(now)
}

func (est *estimate) decay(now time.Time) {
	elapsed := now.Sub(est.at)
	if elapsed <= 0 {
		return
	}
	est.fast *= math.Exp(-elapsed.Seconds() / fastDecay.Seconds())
	est.slow *= math.Exp(-elapsed.Seconds() / slowDecay.Seconds())
	est.at = now
}

// learnHour strengthens the habit of this hour once a day.
func (est *estimate) learnHour(now time.Time) {
	day, hour := now.UTC().YearDay(), now.UTC().Hour()
	if est.habitDay == day && est.habitHour == hour {
		return
	}
	est.habitDay, est.habitHour = day, hour
	est.habit[hour] = uint8(min(habitMax, int(est.habit[hour])*3/4+habitGain))
}

// dropLeast makes room by dropping the model with the least demand.
func (s *shard) dropLeast(now time.Time) {
	least, found := "", math.Inf(1)
	for model, est := range s.models {
		if value := est.perSecond(now); value < found {
			least, found = model, value
		}
	}
	delete(s.models, least)
}

// perSecond gives the likely requests a second: the larger of the two rates,
// so that a burst counts at once and a steady trickle is not forgotten.
func (est *estimate) perSecond(now time.Time) float64 {
	fast, slow := est.rates(now)
	return max(fast, slow)
}

func (est *estimate) rates(now time.Time) (fast, slow float64) {
	elapsed := max(0, now.Sub(est.at).Seconds())
	fast = est.fast * math.Exp(-elapsed/fastDecay.Seconds()) / fastDecay.Seconds()
	slow = est.slow * math.Exp(-elapsed/slowDecay.Seconds()) / slowDecay.Seconds()
	return fast, slow
}

// PerSecond gives the likely requests a second for a model.
func (e *Estimator) PerSecond(model string, now time.Time) float64 {
	s := e.shard(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	if est := s.models[model]; est != nil {
		return est.perSecond(now)
	}
	return 0
}

// Forecast is a model that will likely be asked for.
type Forecast struct {
	Model     string  `json:"model"`
	PerSecond float64 `json:"per_second"`
}

// Rising gives the models whose rate grows, the fastest first.
func (e *Estimator) Rising(now time.Time, limit int) []Forecast {
	return e.choose(now, limit, func(est *estimate) bool {
		fast, slow := est.rates(now)
		return fast >= risingLeast && fast > risingFactor*slow
	})
}

// Hottest gives the models with the highest rates, for refilling a runner.
func (e *Estimator) Hottest(now time.Time, limit int) []Forecast {
	return e.choose(now, limit, func(*estimate) bool { return true })
}

// UsualAtHour gives the models that are regularly used in the hour of a time.
func (e *Estimator) UsualAtHour(at time.Time, limit int) []Forecast {
	hour := at.UTC().Hour()
	return e.choose(at, limit, func(est *estimate) bool { return est.habit[hour] >= habitLikely })
}

func (e *Estimator) choose(now time.Time, limit int, wanted func(*estimate) bool) []Forecast {
	var chosen []Forecast
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for model, est := range s.models {
			if wanted(est) {
				chosen = append(chosen, Forecast{Model: model, PerSecond: est.perSecond(now)})
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(chosen, func(a, b Forecast) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Model, b.Model))
	})
	return chosen[:min(limit, len(chosen))]
}

// Len gives the number of models with an estimate.
func (e *Estimator) Len() int {
	count := 0
	for i := range e.shards {
		e.shards[i].mu.Lock()
		count += len(e.shards[i].models)
		e.shards[i].mu.Unlock()
	}
	return count
}

// SavedEstimate is one model's estimate as it is handed on or stored.
type SavedEstimate struct {
	Model      string  `json:"m"`
	Fast       float64 `json:"f"`
	Slow       float64 `json:"s"`
	HourScores []byte  `json:"h,omitempty"`
}

// Save gives the estimates with the highest rates as of a time.
func (e *Estimator) Save(now time.Time, limit int) []SavedEstimate {
	var saved []SavedEstimate
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for model, est := range s.models {
			est.decay(now)
			saved = append(saved, SavedEstimate{Model: model, Fast: est.fast, Slow: est.slow, HourScores: slices.Clone(est.habit[:])})
		}
		s.mu.Unlock()
	}
	slices.SortFunc(saved, func(a, b SavedEstimate) int {
		return cmp.Or(cmp.Compare(b.Slow, a.Slow), cmp.Compare(a.Model, b.Model))
	})
	return saved[:min(limit, len(saved))]
}

// Restore takes saved estimates over where they say more than what is known.
func (e *Estimator) Restore(saved []SavedEstimate, now time.Time) {
	for _, item := range saved {
		s := e.shard(item.Model)
		s.mu.Lock()
		est := s.models[item.Model]
		if est == nil && len(s.models) < e.perShard {
			est = &estimate{at: now, habitHour: -1}
			s.models[item.Model] = est
		}
		if est != nil {
			est.decay(now)
			est.fast = max(est.fast, item.Fast)
			est.slow = max(est.slow, item.Slow)
			for hour := range min(len(item.HourScores), hoursPerDay) {
				est.habit[hour] = max(est.habit[hour], item.HourScores[hour])
			}
		}
		s.mu.Unlock()
	}
}
