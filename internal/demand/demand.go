// Package demand estimates in bounded memory how often each model is requested and
// which models will be requested next.
//
// The estimates are hints. They decide which models are loaded and evicted, never
// whether a request may run. They decay, so that a shift of popularity shows within
// seconds.
package demand

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Decay times of the two request rates that are kept for each model.
const (
	fastDecay = 20 * time.Second
	slowDecay = 10 * time.Minute
)

const (
	shardCount  = 16
	hoursPerDay = 24
	// Each day on which a model is used in an hour, that hour's score is reduced to
	// three quarters and raised by hourScoreGain, up to hourScoreMax. A model counts
	// as regularly used in an hour from hourScoreLikely on, which takes two such days.
	hourScoreGain   = 64
	hourScoreMax    = 255
	hourScoreLikely = 96
	// A model's rate is rising if it is at least risingMinRate requests per second over
	// fastDecay, and more than risingFactor times the rate over slowDecay.
	risingFactor  = 2
	risingMinRate = 0.1
)

// Count is a number of requests for a model.
type Count struct {
	Model string  `json:"m"`
	N     float64 `json:"n"`
}

// Estimator holds the estimates. It is safe for concurrent use; the models are
// divided into shards with a lock each.
type Estimator struct {
	perShard int
	shards   [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	models map[string]*estimate
}

// estimate is the state of one model. fast and slow are decayed request counts;
// hourScores tells for each hour of the day (UTC) how regularly the model was used in
// it.
type estimate struct {
	fast, slow float64
	updatedAt  time.Time
	hourScores [hoursPerDay]uint8
	lastDay    int
	lastHour   int
}

// NewEstimator returns an estimator for up to limit models.
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
			s.evictLowest(now)
		}
		est = &estimate{updatedAt: now, lastHour: -1}
		s.models[model] = est
	}
	est.decay(now)
	est.fast += n
	est.slow += n
	est.updateHourScore(now)
}

func (est *estimate) decay(now time.Time) {
	elapsed := now.Sub(est.updatedAt)
	if elapsed <= 0 {
		return
	}
	est.fast *= math.Exp(-elapsed.Seconds() / fastDecay.Seconds())
	est.slow *= math.Exp(-elapsed.Seconds() / slowDecay.Seconds())
	est.updatedAt = now
}

// updateHourScore raises the score of the current hour, at most once a day.
func (est *estimate) updateHourScore(now time.Time) {
	day, hour := now.UTC().YearDay(), now.UTC().Hour()
	if est.lastDay == day && est.lastHour == hour {
		return
	}
	est.lastDay, est.lastHour = day, hour
	est.hourScores[hour] = uint8(min(hourScoreMax, int(est.hourScores[hour])*3/4+hourScoreGain))
}

// evictLowest makes room by dropping the model with the lowest rate.
func (s *shard) evictLowest(now time.Time) {
	lowest, lowestRate := "", math.Inf(1)
	for model, est := range s.models {
		if value := est.perSecond(now); value < lowestRate {
			lowest, lowestRate = model, value
		}
	}
	delete(s.models, lowest)
}

// perSecond estimates the requests per second. It returns the larger of the two
// rates, so that a burst counts at once and steady low traffic is not forgotten.
func (est *estimate) perSecond(now time.Time) float64 {
	fast, slow := est.rates(now)
	return max(fast, slow)
}

func (est *estimate) rates(now time.Time) (fast, slow float64) {
	elapsed := max(0, now.Sub(est.updatedAt).Seconds())
	fast = est.fast * math.Exp(-elapsed/fastDecay.Seconds()) / fastDecay.Seconds()
	slow = est.slow * math.Exp(-elapsed/slowDecay.Seconds()) / slowDecay.Seconds()
	return fast, slow
}

// PerSecond estimates the requests per second for a model.
func (e *Estimator) PerSecond(model string, now time.Time) float64 {
	s := e.shard(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	if est := s.models[model]; est != nil {
		return est.perSecond(now)
	}
	return 0
}

// Forecast is a model that is likely to be requested, with its estimated rate.
type Forecast struct {
	Model     string  `json:"model"`
	PerSecond float64 `json:"per_second"`
}

// Rising returns the models whose rate is growing, highest rate first.
func (e *Estimator) Rising(now time.Time, limit int) []Forecast {
	return e.top(now, limit, func(est *estimate) bool {
		fast, slow := est.rates(now)
		return fast >= risingMinRate && fast > risingFactor*slow
	})
}

// Hottest returns the models with the highest rates, for refilling a runner.
func (e *Estimator) Hottest(now time.Time, limit int) []Forecast {
	return e.top(now, limit, func(*estimate) bool { return true })
}

// UsualAtHour returns the models that are regularly used in the hour of the given
// time.
func (e *Estimator) UsualAtHour(when time.Time, limit int) []Forecast {
	hour := when.UTC().Hour()
	return e.top(when, limit, func(est *estimate) bool { return est.hourScores[hour] >= hourScoreLikely })
}

func (e *Estimator) top(now time.Time, limit int, include func(*estimate) bool) []Forecast {
	var chosen []Forecast
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for model, est := range s.models {
			if include(est) {
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

// Len returns the number of models with an estimate.
func (e *Estimator) Len() int {
	count := 0
	for i := range e.shards {
		e.shards[i].mu.Lock()
		count += len(e.shards[i].models)
		e.shards[i].mu.Unlock()
	}
	return count
}

// SavedEstimate is the estimate of one model as it is stored or sent to another host.
type SavedEstimate struct {
	Model      string  `json:"m"`
	Fast       float64 `json:"f"`
	Slow       float64 `json:"s"`
	HourScores []byte  `json:"h,omitempty"`
}

// Save returns up to limit estimates, those with the highest slow rates first.
func (e *Estimator) Save(now time.Time, limit int) []SavedEstimate {
	var saved []SavedEstimate
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for model, est := range s.models {
			est.decay(now)
			saved = append(saved, SavedEstimate{Model: model, Fast: est.fast, Slow: est.slow, HourScores: slices.Clone(est.hourScores[:])})
		}
		s.mu.Unlock()
	}
	slices.SortFunc(saved, func(a, b SavedEstimate) int {
		return cmp.Or(cmp.Compare(b.Slow, a.Slow), cmp.Compare(a.Model, b.Model))
	})
	return saved[:min(limit, len(saved))]
}

// Restore merges saved estimates: of each value the larger one is kept.
func (e *Estimator) Restore(saved []SavedEstimate, now time.Time) {
	for _, item := range saved {
		s := e.shard(item.Model)
		s.mu.Lock()
		est := s.models[item.Model]
		if est == nil && len(s.models) < e.perShard {
			est = &estimate{updatedAt: now, lastHour: -1}
			s.models[item.Model] = est
		}
		if est != nil {
			est.decay(now)
			est.fast = max(est.fast, item.Fast)
			est.slow = max(est.slow, item.Slow)
			for hour := range min(len(item.HourScores), hoursPerDay) {
				est.hourScores[hour] = max(est.hourScores[hour], item.HourScores[hour])
			}
		}
		s.mu.Unlock()
	}
}
