// Package loading keeps the order of loads for the whole fleet within the
// weight store's allowance.
//
// The allowance is divided into shares. Each share belongs to one host, which
// either uses it or lends it, for a short time, to the host that orders loads
// for all. A share is never used in two places, so the allowance is kept
// however the hosts are cut off from each other: a host that nobody hears
// still has its own share, and no election is needed.
package loading

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// SharesKey is where the claims on shares stand in the object API.
const SharesKey = "loading/shares"

// Owner names the process that a share belongs to.
type Owner struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// Claims is the stored list of shares; the zero Owner marks a free one.
type Claims struct {
	Shares []Owner `json:"shares"`
}

// Count gives the number of shares of a process.
func (c Claims) Count(owner Owner) int {
	count := 0
	for _, share := range c.Shares {
		if share == owner {
			count++
		}
	}
	return count
}

// Claim gives the claims after a process has taken or freed shares so that it
// holds its part of them: the total divided by the live hosts, rounded up.
// ended tells whether a process is proven over, so that its shares are free.
func (c Claims) Claim(self Owner, total, live int, ended func(Owner) bool) (Claims, bool) {
	next := Claims{Shares: slices.Clone(c.Shares)}
	for len(next.Shares) < total {
		next.Shares = append(next.Shares, Owner{})
	}
	want := (total + max(live, 1) - 1) / max(live, 1)
	have := next.Count(self)
	changed := false
	for i, share := range next.Shares {
		free := share == Owner{} || (share != self && ended(share))
		switch {
		case free && have < want:
			next.Shares[i] = self
			have++
			changed = true
		case share == self && have > want:
			next.Shares[i] = Owner{}
			have--
			changed = true
		}
	}
	return next, changed
}

// AllOwnedBy says whether every share belongs to one of the hosts.
func (c Claims) AllOwnedBy(hosts []string) bool {
	for _, share := range c.Shares {
		if !slices.Contains(hosts, share.Host) {
			return false
		}
	}
	return true
}

// Release gives the claims without those of a process.
func (c Claims) Release(self Owner) Claims {
	next := Claims{Shares: slices.Clone(c.Shares)}
	for i, share := range next.Shares {
		if share == self {
			next.Shares[i] = Owner{}
		}
	}
	return next
}

// Allowance is the part of the weight store's rate that this host may use now:
// its own shares while they are not lent, and those borrowed. It is safe for
// concurrent use.
type Allowance struct {
	total int

	mu       sync.Mutex
	perShare rate.Limit
	own      int
	coming   int
	comingAt time.Time
	lentTo   string
	lentTill time.Time
	loans    map[string]loan
	bucket   *rate.Limiter
}

type loan struct {
	shares int
	till   time.Time
}

// NewAllowance makes the allowance of a host without shares; total is the
// number of shares that make up the rate, in loads a second.
func NewAllowance(perSecond float64, total int, now time.Time) *Allowance {
	a := &Allowance{
		total:    total,
		perShare: rate.Limit(perSecond / float64(total)),
		loans:    map[string]loan{},
		bucket:   rate.NewLimiter(0, 1),
	}
	a.bucket.AllowN(now, 1)
	return a
}

// SetOwnShares sets the number of shares that belong to this host. Shares that had
// an owner before count only after a loan's life: whoever borrowed them from
// that owner may use them until then. unused says that none had one.
func (a *Allowance) SetOwnShares(shares int, unused bool, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	if shares > a.own && shares != a.coming {
		a.coming = shares
		a.comingAt = now.Add(loanLife)
	}
	if shares <= a.own || unused {
		a.own = shares
		a.coming = 0
	}
	a.adjust(now)
}

// SetRate changes the rate that all shares together make up, in loads a second.
func (a *Allowance) SetRate(perSecond float64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	a.perShare = rate.Limit(perSecond / float64(a.total))
	a.adjust(now)
}

// Lend lends this host's shares for a time that counts from now on this
// host's clock. It returns zero while they are lent to another.
func (a *Allowance) Lend(to string, now time.Time, life time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	if a.lentTo != "" && a.lentTo != to {
		return 0
	}
	a.lentTo = to
	a.lentTill = now.Add(life)
	a.adjust(now)
	return a.own
}

// Borrowed notes shares lent to this host. The loan ends a life after it was
// asked for, which is before the lender counts it as ended.
func (a *Allowance) Borrowed(from string, shares int, asked time.Time, life time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	a.loans[from] = loan{shares: shares, till: asked.Add(life)}
	a.adjust(now)
}

// Take uses one load of the allowance if there is one.
func (a *Allowance) Take(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	a.adjust(now)
	return a.bucket.AllowN(now, 1)
}

// NextIn gives the time until the allowance has grown by one load. Where one is
// left already, something else is in the way, and the answer is a second.
func (a *Allowance) NextIn(now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	a.adjust(now)
	tokens, limit := a.bucket.TokensAt(now), float64(a.bucket.Limit())
	if tokens >= 1 || limit <= 0 {
		return time.Second
	}
	return time.Duration((1-tokens)/limit*float64(time.Second)) + time.Millisecond
}

// PerSecond gives the loads a second that this host may order now.
func (a *Allowance) PerSecond(now time.Time) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	a.adjust(now)
	return float64(a.bucket.Limit())
}

// settle ends what has run out. A share that comes back begins with an empty
// bucket: what it could have saved up was the borrower's to use.
func (a *Allowance) settle(now time.Time) {
	if a.lentTo != "" && !now.Before(a.lentTill) {
		a.lentTo = ""
	}
	if a.coming > 0 && !now.Before(a.comingAt) {
		a.own = a.coming
		a.coming = 0
	}
	for from, l := range a.loans {
		if !now.Before(l.till) {
			delete(a.loans, from)
		}
	}
}

func (a *Allowance) adjust(now time.Time) {
	shares := 0
	if a.lentTo == "" {
		shares = a.own
	}
	for _, l := range a.loans {
		shares += l.shares
	}
	limit := a.perShare * rate.Limit(shares)
	if limit != a.bucket.Limit() {
		a.bucket.SetLimitAt(now, limit)
	}
}
