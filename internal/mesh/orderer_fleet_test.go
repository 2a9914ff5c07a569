package mesh

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/peer"
	"github.com/cherrystage/cherrystage/internal/registry"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/cherrystage/cherrystage/internal/timing"
	"github.com/hashicorp/go-hclog"
	"github.com/shoenig/test/must"
)

const (
	fleetSize    = 8
	fleetRunners = 12
	// calmTime is the time without faults after the start, faultTime that with faults.
	calmTime  = 5 * time.Second
	faultTime = 40 * time.Second
	// usualBandwidth is that of a host's link in Mbit/s, on which a heartbeat takes a millisecond.
	usualBandwidth = 5
	// orderInterval is the time between a host's attempts to give orders to a runner, and
	// shortOrderInterval the same where hosts come back from a cut: a host that should not order
	// learns that within some ten milliseconds.
	orderInterval      = 50 * time.Millisecond
	shortOrderInterval = 5 * time.Millisecond
	// watchWait, watchPause and watchMaxAge are those of package entry for this kind.
	watchWait   = 2 * time.Second
	watchPause  = 300 * time.Millisecond
	watchMaxAge = 4 * time.Second
	// maxLag is how far a host's watch may be behind, longLag the same in one row.
	maxLag  = 800 * time.Millisecond
	longLag = 6 * time.Second
)

// ordererFleet is a fleet of hosts in virtual time that give orders to all runners that they
// may order.
type ordererFleet struct {
	t       *testing.T
	seed    uint64
	net     *standin.Network
	store   *faultyStore
	names   []string
	runners []Runner
	ctx     context.Context
	started time.Time
	// end is when the faults end, injectors are those that inject them.
	end           time.Time
	injectors     sync.WaitGroup
	processes     uint64
	orderInterval time.Duration
	// withoutRunners are the hosts that reach no runner at the moment.
	withoutRunners map[string]bool
	// hostsDead tells that some hosts stay dead.
	hostsDead bool
	// hostsLost tells that some may be dead together with their witnesses.
	hostsLost bool

	mu    sync.Mutex
	hosts map[string]*fleetHost
	// orders holds the last order of each host by runner, highest the highest token.
	orders  map[string]map[string]givenOrder
	highest map[string]givenOrder
	// given counts the orders, takeovers the changes of a runner's highest token.
	given, takeovers int
	ownersAfter      time.Duration
	// longestPause is the longest time between two orders to one runner since watchOrders.
	watching     bool
	longestPause time.Duration
	// brokenAlive are the hosts whose lease was broken while their process ran.
	brokenAlive []string
	// brokenHistory is the trace before the first of them.
	brokenHistory string
	violations    []string
	violated      map[string]bool
	trace         []traceLine
}

type fleetHost struct {
	state *State
	stop  func()
}

type givenOrder struct {
	host  string
	token uint64
	at    time.Time
}

type traceLine struct {
	at   time.Duration
	text string
}

// runOrdererFleet runs a fleet through faults and checks the orders. The checks go on until
// every runner has a host that may order it.
func runOrdererFleet(t *testing.T, seed uint64, interval time.Duration, inject func(f *ordererFleet)) *ordererFleet {
	t.Helper()
	f := &ordererFleet{t: t, seed: seed, orderInterval: interval, violated: map[string]bool{}, withoutRunners: map[string]bool{}}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f.net, f.store, f.ctx, f.started = standin.NewNetwork(), newFaultyStore(), ctx, time.Now()
		f.hosts, f.orders, f.highest = map[string]*fleetHost{}, map[string]map[string]givenOrder{}, map[string]givenOrder{}
		f.store.onWrite = f.noteWrite
		f.end = f.started.Add(calmTime + faultTime)
		for i := range fleetSize {
			f.names = append(f.names, fmt.Sprintf("h%d", i+1))
			f.net.Links.SetBandwidth(f.names[i], usualBandwidth)
		}
		for i := range fleetRunners {
			runner := Runner{Address: fmt.Sprintf("r%d:1", i+1), DataCentre: f.centre(i)}
			f.runners = append(f.runners, runner)
			f.orders[runner.Address] = map[string]givenOrder{}
		}
		go f.giveOrders()
		go timing.Every(ctx, 130*time.Millisecond, f.store.writeOther)
		for _, name := range f.names {
			f.start(name)
			time.Sleep(30 * time.Millisecond)
		}
		time.Sleep(calmTime - time.Since(f.started))
		inject(f)
		f.injectors.Wait()
		f.awaitOwners()
		for _, name := range f.names {
			f.kill(name)
		}
		cancel()
		f.net.Close()
		time.Sleep(time.Minute)
	})
	return f
}

// centre returns the data centre of a host or runner: one for all in half of the seeds.
func (f *ordererFleet) centre(number int) string {
	return fmt.Sprintf("hall-%d", number%3*int(f.seed%2))
}

func (f *ordererFleet) start(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hosts[name] != nil {
		return
	}
	f.processes++
	f.net.Heal(name, "*")
	ctx, cancel := context.WithCancel(f.ctx)
	self := peer.Identity{Host: name, Incarnation: fmt.Sprint(name, "-", f.processes)}
	log := hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Info, Output: f, DisableTime: true})
	state := NewState(name, testTiming, time.Now())
	s := NewService(Deps{
		Self: self, Address: name + ":1", DataCentre: f.centre(slices.Index(f.names, name)), Seeds: []string{"h1:1", "h2:1", "h3:1"},
		State: state, Store: f.store.client(name, f.seed, f.processes), Kinds: map[string]*registry.Replica{},
		Pool: peer.NewPool(self, nil, f.net.Host(name).Dial, hclog.NewNullLogger()), Statuses: noStatus{},
		Runners: func() []Runner { return f.runners }, Reach: func([]string) bool { return f.reachesRunners(name) }, Now: time.Now, Log: log,
	})
	mux := peer.NewMux()
	s.Register(mux)
	server := peer.NewServer(self, nil, mux, hclog.NewNullLogger())
	listener, err := f.net.Host(name).Listen("1")
	must.NoError(f.t, err)
	go func() { _ = server.Serve(listener) }()
	go s.Run(ctx)
	go newFleetFollower(s).Run(ctx)
	f.hosts[name] = &fleetHost{state: state, stop: func() { f.stopProcess(name, cancel, s.Pool, server, listener) }}
	f.note("starts " + self.Incarnation)
}

func (f *ordererFleet) reachesRunners(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.withoutRunners[name]
}

// newFleetFollower returns the follower of a service's records, as package entry sets it up.
func newFleetFollower(s *Service) *registry.Follower {
	return &registry.Follower{
		Store: s.Store, Kind: Kind, Sink: s.Fleet(), Wait: watchWait, MinInterval: watchPause, Now: s.Now, Log: hclog.NewNullLogger(),
		WatchDelay:    func() time.Duration { return s.WatchDelay(Kind, watchMaxAge) },
		MaxRetryPause: func() time.Duration { return s.MaxRetryPause(Kind) },
		OnConfirmed:   func(asOf time.Time) { s.Confirmed(Kind, asOf) },
	}
}

func (f *ordererFleet) stopProcess(name string, cancel context.CancelFunc, pool *peer.Pool, server *peer.Server, listener net.Listener) {
	cancel()
	f.net.KillHost(name)
	pool.Close()
	server.Close()
	_ = listener.Close()
}

func (f *ordererFleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if host := f.hosts[name]; host != nil {
		delete(f.hosts, name)
		host.stop()
		f.note("dies " + name)
	}
}

// giveOrders lets every host try to order every runner, again and again.
func (f *ordererFleet) giveOrders() {
	for f.ctx.Err() == nil {
		timing.Sleep(f.ctx, f.orderInterval)
		f.mu.Lock()
		for _, name := range f.names {
			for _, runner := range f.runners {
				host := f.hosts[name]
				if host == nil {
					continue
				}
				if token, ok := host.state.MayOrder(runner.Address, time.Now()); ok {
					f.noteOrder(runner.Address, givenOrder{host: name, token: token, at: time.Now()})
				}
			}
		}
		f.mu.Unlock()
	}
}

// noteOrder records an order and checks it against those before. The caller holds mu.
func (f *ordererFleet) noteOrder(runner string, order givenOrder) {
	f.given++
	last := f.orders[runner]
	f.notePause(order, last)
	if _, ordered := last[order.host]; !ordered || last[order.host].token != order.token {
		f.note(fmt.Sprintf("orders: %s orders %s by token %s", order.host, runner, tokenText(order.token)))
	}
	for host, before := range last {
		if host != order.host && order.at.Sub(before.at) < testTiming.OrderGap {
			f.violate(runner, order, before, "within the order gap")
		}
	}
	highest := f.highest[runner]
	if order.token < highest.token || order.token == highest.token && order.host != highest.host {
		f.violate(runner, order, highest, "token does not rise")
	}
	if order.token > highest.token {
		f.highest[runner] = order
		f.takeovers++
	}
	last[order.host] = order
}

// notePause measures the time since the last order to a runner by any host. The caller holds mu.
func (f *ordererFleet) notePause(order givenOrder, last map[string]givenOrder) {
	if !f.watching {
		return
	}
	pause := time.Duration(-1)
	for _, before := range last {
		if since := order.at.Sub(before.at); pause < 0 || since < pause {
			pause = since
		}
	}
	f.longestPause = max(f.longestPause, pause)
}

func tokenText(token uint64) string {
	return fmt.Sprintf("%d/%d", token>>revisionBits, token&(1<<revisionBits-1))
}

// violate records a violation, only the first ones in full. The caller holds mu.
func (f *ordererFleet) violate(runner string, order, before givenOrder, what string) {
	text := fmt.Sprintf("%s %s: order of %s by token %s, %s after one of %s by token %s: %s", time.Since(f.started), runner, order.host, tokenText(order.token), order.at.Sub(before.at), before.host, tokenText(before.token), what)
	if f.violated[runner+what] {
		return
	}
	f.violated[runner+what] = true
	if len(f.violations) < 2 {
		text += "\n" + f.beliefs(runner, order.host, before.host) + f.history(runner, order.host, before.host)
	}
	f.violations = append(f.violations, text)
}

// beliefs describes what hosts know of a runner's owner and of each other. The caller holds mu.
func (f *ordererFleet) beliefs(runner string, names ...string) string {
	var out strings.Builder
	for _, name := range names {
		host := f.hosts[name]
		if host == nil {
			fmt.Fprintf(&out, "  %s is not running\n", name)
			continue
		}
		s := host.state
		s.mu.Lock()
		fmt.Fprintf(&out, "  %s: epoch %d, era %d, knows claim %+v, lease valid for %s, witnesses %v or %v, members:", name, s.epoch, s.era, s.owners[ownerRecordName(runner)], time.Until(s.validUntil()), s.witnesses, s.recordWitnesses)
		for _, other := range names {
			fmt.Fprintf(&out, " %s=%+v", other, s.members[other])
		}
		fmt.Fprintf(&out, "\n")
		s.mu.Unlock()
	}
	return out.String()
}

// history returns the trace of the last seconds as far as it concerns a runner and its two
// hosts. The caller holds mu.
func (f *ordererFleet) history(runner string, hosts ...string) string {
	var out strings.Builder
	wanted := append([]string{"fault", "dies", "starts", ownerRecordName(runner), runner + " "}, hosts...)
	for _, line := range f.trace {
		isWanted := func(word string) bool { return strings.Contains(line.text, word) }
		if time.Since(f.started)-line.at < historyTime && slices.ContainsFunc(wanted, isWanted) {
			fmt.Fprintf(&out, "    %8.3f %s\n", line.at.Seconds(), line.text)
		}
	}
	return out.String()
}

// historyTime is the length of the trace that is reported.
const historyTime = 14 * time.Second

// note adds a line to the trace. The caller holds mu.
func (f *ordererFleet) note(text string) {
	f.trace = append(f.trace, traceLine{at: time.Since(f.started), text: text})
}

// noteFault adds the begin or end of a fault to the trace.
func (f *ordererFleet) noteFault(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.note("fault: " + fmt.Sprintf(format, args...))
}

// Write implements io.Writer for the hosts' logs.
func (f *ordererFleet) Write(line []byte) (int, error) {
	go func(text string) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.note(text)
	}(strings.TrimSpace(string(line)))
	return len(line), nil
}

// noteWrite adds a write to the trace, and notes the broken leases of hosts that run.
func (f *ordererFleet) noteWrite(by string, record registry.Record, removed bool) {
	at := time.Since(f.started)
	go func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.trace = append(f.trace, traceLine{at: at, text: fmt.Sprintf("store: %s writes %s as %d: %s removed=%t", by, record.Name, record.Revision, record.Spec, removed)})
		if name, m, ok := decodeHost(record); ok && m.Broken && !removed && f.hosts[name] != nil {
			f.brokenAlive = append(f.brokenAlive, name)
			if len(f.brokenAlive) == 1 {
				f.brokenHistory = f.history(name, name+" ", name+":", "host."+name)
			}
		}
	}()
}

// takeoverBound is how long after the last fault every runner has a host that may order it. The
// hosts reach the store again and find that it was away, begin a new era, register and claim the
// runners. If hosts are dead, the others break their leases, at worst after the longest pause
// between two attempts, and once more after those of dead witnesses.
func (f *ordererFleet) takeoverBound() time.Duration {
	const (
		storeBack       = listTimeout + followerRetryPause + registrationTime
		claim           = startupSettle + joinSettle + watchWait + watchPause + storeTimeout
		witnessesBroken = DefaultLease + maxBreakBackoff + storeTimeout
	)
	newEra := testTiming.breakTimeout() + eraPropagation
	bound := maxLateness + storeBack + newEra + claim
	if f.hostsDead {
		bound += testTiming.breakTimeout() + maxWitnesses*testTiming.Margin + maxBreakBackoff + storeTimeout + witnessesBroken
	}
	if f.hostsLost {
		bound += contestBound()
	}
	return bound
}

// watchOrders has the longest pause between orders measured from now on.
func (f *ordererFleet) watchOrders() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.watching = true
}

// awaitOwners waits until every runner has a host that may order it, with the same hosts for
// two seconds.
func (f *ordererFleet) awaitOwners() {
	f.store.update(func() { clear(f.store.lag) })
	last := time.Now()
	for since := time.Now(); time.Since(since) < 2*time.Second; time.Sleep(orderInterval) {
		if lacking := f.runnersWithoutOrders(); len(lacking) > 0 {
			since = time.Now()
			if time.Since(last) > f.takeoverBound() {
				f.mu.Lock()
				f.violations = append(f.violations, fmt.Sprintf("%s after the last fault no host may order %v\n%s", time.Since(last), lacking, f.beliefs(lacking[0], f.names...)+f.history(lacking[0], f.names...)))
				f.mu.Unlock()
				return
			}
		}
	}
	f.ownersAfter = time.Since(last) - 2*time.Second
}

// runnersWithoutOrders returns the runners that got no order just now.
func (f *ordererFleet) runnersWithoutOrders() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lacking []string
	for _, runner := range f.runners {
		recent := false
		for _, order := range f.orders[runner.Address] {
			recent = recent || time.Since(order.at) < 4*orderInterval
		}
		if !recent {
			lacking = append(lacking, runner.Address)
		}
	}
	return lacking
}

// rng returns the random source of an injector.
func (f *ordererFleet) rng(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(f.seed, stream)) }
