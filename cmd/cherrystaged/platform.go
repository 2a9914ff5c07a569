package main

import (
	"context"
	"expvar"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cherrystage/cherrystage/internal/adapters"
	"github.com/cherrystage/cherrystage/internal/clock"
	"github.com/cherrystage/cherrystage/internal/entry"
	"github.com/cherrystage/cherrystage/internal/logging"
	"github.com/cherrystage/cherrystage/internal/quota"
	"github.com/cherrystage/cherrystage/internal/retrybudget"
	"github.com/cherrystage/cherrystage/internal/settings"
	"github.com/cherrystage/cherrystage/platform"
	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// metricsPort and metricsPath are where deploy/system.toml says that the
	// metrics are.
	metricsPort = "7399"
	metricsPath = "/metrics"
	// logPatience bounds the writing of the last log lines at the end.
	logPatience = 200 * time.Millisecond
	// platformGCPercent lets the heap grow to twice what lives: memory is
	// plentiful beside processor time on the platform's hosts.
	platformGCPercent = 200
	// memoryShare of the memory at which the platform ends the process is what the heap
	// is kept to. A host that watches for a large fleet reads lists of megabytes in a
	// moment; left to grow to twice what lives, its heap came near the limit.
	memoryShare = 0.5
)

// probedDialer finds connections that went silent for good within two seconds:
// by probes while they are idle, by the time without an acknowledgement while
// they are not.
var probedDialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2},
	Control: func(_, _ string, conn syscall.RawConn) error {
		var failure error
		err := conn.Control(func(fd uintptr) {
			failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failure
	},
}

// unacknowledged is how long sent bytes may stay without an acknowledgement.
const unacknowledged = 1500 * time.Millisecond

// servePlatform runs an entry host on the users' platform and gives the exit
// code.
func servePlatform(cfg *settings.Settings) int {
	debug.SetGCPercent(platformGCPercent)
	placed, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cherrystaged:", err)
		return exitUsage
	}
	if placed.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(placed.MemoryBytes)))
	}
	out := logging.NewWriter(os.Stdout)
	defer out.Close(logPatience)
	log := hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: true, Output: out}).With("host", placed.Host)
	log.Info("starting", "version", version, "data_centre", placed.DataCentre, "front", placed.Front, "store", placed.Store)
	if err := runEntry(entryConfig(placed, cfg.PeerKey), placed, out, log); err != nil {
		log.Error("ended", "error", err.Error())
		return exitFailure
	}
	log.Info("stopped")
	return 0
}

func runEntry(cfg entry.Config, placed platform.Settings, out *logging.Writer, log hclog.Logger) error {
	e := entry.New(cfg, entry.Platform{
		Store:       platform.NewStore(placed.Store, probedDialer.DialContext),
		Decoder:     platform.Records{},
		Dialect:     platform.Headers{},
		Engines:     platform.NewEngines(probedDialer.DialContext),
		ConfigKind:  platform.KindConfig,
		RunnerKind:  platform.KindRunners,
		VersionKind: platform.KindAdapterVersions,
	}, probedDialer.DialContext, clock.Now, log)
	listeners, err := listenAll(placed)
	if err != nil {
		return err
	}
	vars := e.Vars()
	vars.Set("log_lines_dropped", expvar.Func(func() any { return out.Dropped() }))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	var group run.Group
	group.Add(func() error { e.Background(ctx); return nil }, func(error) { cancel() })
	group.Add(func() error { return e.ServePeers(listeners.peers) }, func(error) { _ = listeners.peers.Close() })
	addPage(&group, listeners.ready, platform.ReadyPath, readiness(e))
	addPage(&group, listeners.metrics, metricsPath, func(c echo.Context) error { return c.String(http.StatusOK, vars.String()) })
	addCallers(&group, func() error { return e.ServeCallers(listeners.front) }, func() { _ = listeners.front.Close() })
	addPlatformSignals(&group, e, log)
	return group.Run()
}

// defaultPeerKey serves deployments that set no key: their hosts' internal ports
// are reached by nobody else. It must not depend on where a host runs.
const defaultPeerKey = "cherrystage entry hosts"

func entryConfig(placed platform.Settings, peerKey string) entry.Config {
	if peerKey == "" {
		peerKey = defaultPeerKey
	}
	return entry.Config{
		Host:          placed.Host,
		DataCentre:    placed.DataCentre,
		PeerAddress:   placed.Peers,
		Seeds:         placed.Seeds,
		PeerKey:       []byte(peerKey),
		OrderGap:      placed.Bounds.OrderLease,
		ShutdownGrace: placed.Bounds.Grace,
		RetryLimit: retrybudget.Limit{
			Ratio:  placed.Bounds.RetryRatio,
			Slack:  placed.Bounds.RetrySlack,
			Window: placed.Bounds.RetryWindow,
		},
		QuotaTolerance: quota.Tolerance{
			Window:    placed.Bounds.QuotaWindow,
			Overshoot: placed.Bounds.QuotaOvershoot,
			Slack:     placed.Bounds.QuotaSlack,
		},
		LoadLimit: adapters.ModelLoadLimit{Window: placed.Bounds.LoadWindow, Overshoot: placed.Bounds.LoadOvershoot},
	}
}

type platformListeners struct{ front, ready, peers, metrics net.Listener }

func listenAll(placed platform.Settings) (platformListeners, error) {
	var l platformListeners
	host, _, err := net.SplitHostPort(placed.Peers)
	if err != nil {
		return l, errors.Wrap(err, "peers' address")
	}
	for _, want := range []struct {
		what, address string
		into          *net.Listener
	}{
		{"front", placed.Front, &l.front},
		{"readiness", placed.Ready, &l.ready},
		{"peers", placed.Peers, &l.peers},
		{"metrics", net.JoinHostPort(host, metricsPort), &l.metrics},
	} {
		listener, err := net.Listen("tcp", want.address)
		if err != nil {
			return l, errors.Wrap(err, want.what)
		}
		*want.into = listener
	}
	return l, nil
}

func readiness(e *entry.Entry) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !e.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	}
}

// addPage serves one page on a listener of its own.
func addPage(group *run.Group, listener net.Listener, path string, handler echo.HandlerFunc) {
	router := echo.New()
	router.GET(path, handler)
	server := &http.Server{Handler: router, ReadHeaderTimeout: time.Second}
	group.Add(func() error { return ignoreClosed(server.Serve(listener)) }, func(error) { _ = server.Close() })
}

// settingsPoll is how often the settings file is looked at: it may change
// without a signal.
const settingsPoll = 2 * time.Second

// addPlatformSignals stops the host gracefully at SIGTERM, and reads the
// settings again at SIGHUP and when their file has changed.
func addPlatformSignals(group *run.Group, e *entry.Entry, log hclog.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		poll := time.NewTicker(settingsPoll)
		defer poll.Stop()
		changed := settingsChanged()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-poll.C:
				if changed() {
					reload(e, log)
				}
			case received := <-signals:
				if received != syscall.SIGHUP {
					log.Info("stopping", "signal", received.String())
					e.Shutdown(ctx)
					return nil
				}
				reload(e, log)
			}
		}
	}, func(error) { cancel() })
}

// settingsChanged gives a function that says whether the settings file is
// another one than at its last call.
func settingsChanged() func() bool {
	stat := func() (time.Time, int64) {
		info, err := os.Stat(os.Getenv(platform.SettingsVariable))
		if err != nil {
			return time.Time{}, 0
		}
		return info.ModTime(), info.Size()
	}
	at, size := stat()
	return func() bool {
		nowAt, nowSize := stat()
		changed := !nowAt.IsZero() && (!nowAt.Equal(at) || nowSize != size)
		if changed {
			at, size = nowAt, nowSize
		}
		return changed
	}
}

// reload takes the settings over that can change while the process runs.
func reload(e *entry.Entry, log hclog.Logger) {
	placed, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		log.Error("settings not reloaded; the ones before stay in force", "error", err.Error())
		return
	}
	e.SetShutdownGrace(placed.Bounds.Grace)
	log.Info("settings reloaded", "grace_ms", placed.Bounds.Grace.Milliseconds())
}
