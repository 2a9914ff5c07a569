// Package loading schedules loads for the whole fleet within the weight store's
// allowance.
//
// The allowance is divided into shares. Each share belongs to one host, which
// either uses it or lends it, for a short time, to the host that coordinates
// loads. A share is never used in two places, so the allowance holds even if
// the hosts are partitioned: an isolated host still has its own share, and no
// election is needed.
package loading

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// SharesKey is the key of the share claims in the object API.
const SharesKey = "loading/shares"

// Owner identifies the process that a share belongs to.
type Owner struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// Claims is the stored list of shares. A zero Owner marks a free share.
type Claims struct {
	Shares []Owner `json:"shares"`
}

// Count returns the number of shares of a process.
func (c Claims) Count(owner Owner) int {
	count := 0
	for _, share := range c.Shares {
		if share == owner {
			count++
		}
	}
	return count
}

// Claim returns the claims after a process has claimed or freed shares so that
// it holds its part: the total divided by the live hosts, rounded up. hasEnded
// reports whether a process is proven dead, so that its shares are free. The
// second result is false if nothing changed.
func (c Claims) Claim(self Owner, total, liveHosts int, hasEnded func(Owner) bool) (Claims, bool) {
	next := Claims{Shares: slices.Clone(c.Shares)}
	for len(next.Shares) < total {
		next.Shares = append(next.Shares, Owner{})
	}
	wanted := (total + max(liveHosts, 1) - 1) / max(liveHosts, 1)
	have := next.Count(self)
	changed := false
	for i, share := range next.Shares {
		free := share == Owner{} || (share != self && hasEnded(share))
		switch {
		case free && have < wanted:
			next.Shares[i] = self
			have++
			changed = true
		case share == self && have > wanted:
			next.Shares[i] = Owner{}
			have--
			changed = true
		}
	}
	return next, changed
}

// AllOwnedBy reports whether every share belongs to one of the hosts.
func (c Claims) AllOwnedBy(hosts []string) bool {
	for _, share := range c.Shares {
		if !slices.Contains(hosts, share.Host) {
			return false
		}
	}
	return true
}

// Release returns the claims without those of a process.
func (c Claims) Release(self Owner) Claims {
	next := Claims{Shares: slices.Clone(c.Shares)}
	for i, share := range next.Shares {
		if share == self {
			next.Shares[i] = Owner{}
		}
	}
	return next
}

// Allowance is the part of the weight store's rate that this host may use: its
// own shares unless they are lent, and the shares it has borrowed. It is safe
// for concurrent use.
type Allowance struct {
	total int

	mu            sync.Mutex
	perShare      rate.Limit
	own           int
	pendingShares int
	pendingFrom   time.Time
	lentTo        string
	lentUntil     time.Time
	borrowed      map[string]loan
	limiter       *rate.Limiter
}

type loan struct {
	shares int
	until  time.Time
}

// NewAllowance returns the allowance of a host without shares. total is the
// number of shares that perSecond, the rate in loads per second, is divided
// into.
func NewAllowance(perSecond float64, total int, now time.Time) *Allowance {
	a := &Allowance{
		total:    total,
		perShare: rate.Limit(perSecond / float64(total)),
		borrowed: map[string]loan{},
		limiter:  rate.NewLimiter(0, 1),
	}
	a.limiter.AllowN(now, 1)
	return a
}

// SetOwnShares sets the number of shares that belong to this host. Additional
// shares count only after loanDuration, since a borrower may use them until
// then; neverClaimed means that they had no previous owner and count at once.
func (a *Allowance) SetOwnShares(shares int, neverClaimed bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLocked(now)
	if shares > a.own && shares != a.pendingShares {
		a.pendingShares = shares
		a.pendingFrom = now.Add(loanDuration)
	}
	if shares <= a.own || neverClaimed {
		a.own = shares
		a.pendingShares = 0
	}
	a.updateLimitLocked(now)
}

// SetRate sets the rate of all shares together, in loads per second.
func (a *Allowance) SetRate(perSecond float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLocked(now)
	a.perShare = rate.Limit(perSecond / float64(a.total))
	a.updateLimitLocked(now)
}

// Lend lends this host's shares for a duration that starts now on this host's
// clock. It returns zero while they are lent to another host.
func (a *Allowance) Lend(to string, now time.Time, duration time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLocked(now)
	if a.lentTo != "" && a.lentTo != to {
		return 0
	}
	a.lentTo = to
	a.lentUntil = now.Add(duration)
	a.updateLimitLocked(now)
	return a.own
}

// AddLoan records shares lent to this host. The loan ends a duration after it
// was requested, which is before the lender considers it ended.
func (a *Allowance) AddLoan(from string, shares int, asked time.Time, duration time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLocked(now)
	a.borrowed[from] = loan{shares: shares, until: asked.Add(duration)}
	a.updateLimitLocked(now)
}

// TryTake takes one load from the allowance. It returns false if none is left.
func (a *Allowance) TryTake(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLocked(now)
	a.updateLimitLocked(now)
	return a.limiter.AllowN(now, 1)
}

// TimeToNext returns the time until the allowance has grown by one load. If one
// is left already, something else is blocking, and it returns one second.
func (a *Allowance) TimeToNext(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLocked(now)
	a.updateLimitLocked(now)
	tokens, limit := a.limiter.TokensAt(now), float64(a.limiter.Limit())
	if tokens >= 1 || limit <= 0 {
		return time.Second
	}
	return time.Duration((1-tokens)/limit*float64(time.Second)) + time.Millisecond
}

// PerSecond returns the current rate of this host, in loads per second.
func (a *Allowance) PerSecond(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expireLocked(now)
	a.updateLimitLocked(now)
	return float64(a.limiter.Limit())
}

// expireLocked ends expired loans and applies pending shares. A share that
// returns brings no accumulated loads: those were the borrower's to use.
func (a *Allowance) expireLocked(now time.Time) {
	if a.lentTo != "" && !now.Before(a.lentUntil) {
		a.lentTo = ""
	}
	if a.pendingShares > 0 && !now.Before(a.pendingFrom) {
		a.own = a.pendingShares
		a.pendingShares = 0
	}
	for from, l := range a.borrowed {
		if !now.Before(l.until) {
			delete(a.borrowed, from)
		}
	}
}

func (a *Allowance) updateLimitLocked(now time.Time) {
	shares := 0
	if a.lentTo == "" {
		shares = a.own
	}
	for _, l := range a.borrowed {
		shares += l.shares
	}
	limit := a.perShare * rate.Limit(shares)
	if limit != a.limiter.Limit() {
		a.limiter.SetLimitAt(now, limit)
	}
}
