package main

import (
	"context"
	"expvar"
	"fmt"
	stdlog "log"
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
	"github.com/cherrystage/cherrystage/internal/resetconn"
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
	// metricsPort and metricsPath are the endpoint of the metrics according to
	// deploy/system.toml.
	metricsPort = "7399"
	metricsPath = "/metrics"
	// logFlushTimeout limits the time for writing the last log lines at exit.
	logFlushTimeout = 200 * time.Millisecond
	// platformGCPercent lets the heap grow by twice the live data between collections: on the
	// platform's hosts memory is plentiful compared to CPU time.
	platformGCPercent = 200
	// memoryLimitShare is the soft memory limit of the runtime, as a share of the memory at
	// which the platform kills the process. A host that watches for a large fleet reads lists of
	// several megabytes at once; with the GC percentage alone, its heap came near the limit.
	memoryLimitShare = 0.5
	// heldShare is the share of it that bodies and answers may take; reading them leaves as much
	// garbage again.
	heldShare = 0.25
)

// dialPlatform detects dead connections to the store and to other hosts within two seconds: idle
// ones by keep-alive probes, the others by the TCP user timeout.
var dialPlatform = resetconn.Dial(newDialer(tcpUserTimeout).DialContext)

// dialRunner is used for connections to runners, which may be silent for a second and more
// without having failed. A connection that was given up meanwhile would cut off its answer.
var dialRunner = resetconn.Dial(newDialer(runnerUserTimeout).DialContext)

// newDialer returns a dialer with keep-alive probes and a TCP user timeout. On Linux the latter
// also decides when unanswered probes give up, whatever their count.
func newDialer(userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2},
		Control: func(_, _ string, conn syscall.RawConn) error {
			var sockoptErr error
			err := conn.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}

// relayListenConfig detects that a host that holds tunnels open is gone.
var relayListenConfig = net.ListenConfig{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 4},
}

// tcpUserTimeout is the maximum time for which sent data may remain unacknowledged.
const tcpUserTimeout = 1500 * time.Millisecond

// runnerUserTimeout is the same for connections to runners.
const runnerUserTimeout = 3 * time.Second

// servePlatform runs an entry host on the users' platform and returns the exit code.
func servePlatform(cfg *settings.Settings) int {
	debug.SetGCPercent(platformGCPercent)
	platformSettings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		fmt.Fprintln(os.Stderr, "cherrystaged:", err)
		return exitUsage
	}
	if platformSettings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(platformSettings.MemoryBytes)))
	}
	out := logging.NewWriter(os.Stdout)
	defer out.Close(logFlushTimeout)
	log := hclog.New(&hclog.LoggerOptions{Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: true, Output: out}).With("host", platformSettings.Host)
	redirectStandardLog(log)
	log.Info("starting", "version", version, "data_centre", platformSettings.DataCentre, "front", platformSettings.FrontAddress, "store", platformSettings.StoreAddress)
	if err := runEntry(entryConfig(platformSettings, cfg.PeerKey), platformSettings, out, log); err != nil {
		log.Error("ended", "error", err.Error())
		return exitFailure
	}
	log.Info("stopped")
	return 0
}

// redirectStandardLog passes on what libraries write to the standard log. net/http tells there of answers
// that arrive on an idle connection, whose bytes a runner chooses.
func redirectStandardLog(log hclog.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.StandardWriter(&hclog.StandardLoggerOptions{ForceLevel: hclog.Info}))
}

func runEntry(cfg entry.Config, platformSettings platform.Settings, out *logging.Writer, log hclog.Logger) error {
	e := entry.New(cfg, entry.Platform{
		Store:   platform.NewStore(platformSettings.StoreAddress, dialPlatform),
		Decoder: platform.Records{},
		Dialect: platform.Headers{},
		Engines: func(paths entry.RunnerPaths) adapters.Engines {
			return platform.NewEngines(paths.Direct).WithRelay(paths.Relayed, paths.UseRelay)
		},
		ConfigKind:  platform.KindConfig,
		RunnerKind:  platform.KindRunners,
		VersionKind: platform.KindAdapterVersions,
	}, entry.Dialers{Hosts: dialPlatform, Runners: dialRunner}, clock.Now, log)
	listeners, err := listenPlatform(platformSettings)
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
	if listeners.relay != nil {
		group.Add(func() error { return e.ServeRelay(listeners.relay) }, func(error) { _ = listeners.relay.Close() })
	}
	addPageServer(&group, listeners.ready, platform.ReadyPath, readinessHandler(e))
	addPageServer(&group, listeners.metrics, metricsPath, func(c echo.Context) error { return c.String(http.StatusOK, vars.String()) })
	addCallerServer(&group, func() error { return e.ServeCallers(listeners.front) }, func() { _ = listeners.front.Close() })
	addPlatformSignalHandler(&group, e, log)
	return group.Run()
}

// defaultPeerKey is used by deployments that configure no key, whose internal ports only their
// own hosts can reach. It must be the same on every host.
const defaultPeerKey = "cherrystage entry hosts"

func entryConfig(platformSettings platform.Settings, peerKey string) entry.Config {
	if peerKey == "" {
		peerKey = defaultPeerKey
	}
	return entry.Config{
		Host:          platformSettings.Host,
		DataCentre:    platformSettings.DataCentre,
		PeerAddress:   platformSettings.PeerAddress,
		RelayPort:     platformSettings.RelayPort,
		Seeds:         platformSettings.Seeds,
		PeerKey:       []byte(peerKey),
		OrderGap:      platformSettings.Bounds.OrderLease,
		ShutdownGrace: platformSettings.Bounds.ShutdownGrace,
		HeldBytes:     int64(heldShare * float64(platformSettings.MemoryBytes)),
		RetryLimit: retrybudget.Limit{
			Ratio:  platformSettings.Bounds.RetryRatio,
			Slack:  platformSettings.Bounds.RetrySlack,
			Window: platformSettings.Bounds.RetryWindow,
		},
		QuotaTolerance: quota.Tolerance{
			Window:    platformSettings.Bounds.QuotaWindow,
			Overshoot: platformSettings.Bounds.QuotaOvershoot,
			Slack:     platformSettings.Bounds.QuotaSlack,
		},
		LoadLimit: adapters.ModelLoadLimit{Window: platformSettings.Bounds.LoadWindow, Overshoot: platformSettings.Bounds.LoadOvershoot},
	}
}

// platformListeners are the listeners of a host; relay is nil if no host relays.
type platformListeners struct{ front, ready, peers, relay, metrics net.Listener }

func listenPlatform(platformSettings platform.Settings) (platformListeners, error) {
	var listeners platformListeners
	host, _, err := net.SplitHostPort(platformSettings.PeerAddress)
	if err != nil {
		return listeners, errors.Wrap(err, "peer address")
	}
	for _, endpoint := range []struct {
		name, address string
		destination   *net.Listener
	}{
		{"front", platformSettings.FrontAddress, &listeners.front},
		{"readiness", platformSettings.ReadinessAddress, &listeners.ready},
		{"peers", platformSettings.PeerAddress, &listeners.peers},
		{"metrics", net.JoinHostPort(host, metricsPort), &listeners.metrics},
	} {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return listeners, errors.Wrap(err, endpoint.name)
		}
		*endpoint.destination = listener
	}
	if platformSettings.RelayPort == "" {
		return listeners, nil
	}
	listeners.relay, err = relayListenConfig.Listen(context.Background(), "tcp", net.JoinHostPort(host, platformSettings.RelayPort))
	if err != nil {
		return listeners, errors.Wrap(err, "relay")
	}
	return listeners, nil
}

func readinessHandler(e *entry.Entry) echo.HandlerFunc {
	return func(c echo.Context) error {
		if !e.Ready() {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		return c.NoContent(http.StatusOK)
	}
}

// addPageServer serves a single page on its own listener.
func addPageServer(group *run.Group, listener net.Listener, path string, handler echo.HandlerFunc) {
	router := echo.New()
	router.GET(path, handler)
	server := &http.Server{Handler: router, ReadHeaderTimeout: time.Second}
	group.Add(func() error { return ignoreServerClosed(server.Serve(listener)) }, func(error) { _ = server.Close() })
}

// settingsPollInterval is the interval of checks for changes to the settings file, which may
// change without a signal.
const settingsPollInterval = 2 * time.Second

// addPlatformSignalHandler stops the host gracefully at SIGINT or SIGTERM. It reloads the
// settings at SIGHUP and when their file has changed.
func addPlatformSignalHandler(group *run.Group, e *entry.Entry, log hclog.Logger) {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		poll := time.NewTicker(settingsPollInterval)
		defer poll.Stop()
		changed := settingsChangeDetector()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-poll.C:
				if changed() {
					reloadSettings(e, log)
				}
			case received := <-signals:
				if received != syscall.SIGHUP {
					log.Info("stopping", "signal", received.String())
					e.Shutdown(ctx)
					return nil
				}
				reloadSettings(e, log)
			}
		}
	}, func(error) { cancel() })
}

// settingsChangeDetector returns a function that reports whether the settings file has changed
// since its last call.
func settingsChangeDetector() func() bool {
	stat := func() (time.Time, int64) {
		info, err := os.Stat(os.Getenv(platform.SettingsVariable))
		if err != nil {
			return time.Time{}, 0
		}
		return info.ModTime(), info.Size()
	}
	modTime, size := stat()
	return func() bool {
		newModTime, newSize := stat()
		changed := !newModTime.IsZero() && (!newModTime.Equal(modTime) || newSize != size)
		if changed {
			modTime, size = newModTime, newSize
		}
		return changed
	}
}

// reloadSettings applies the settings that may change while the process runs.
func reloadSettings(e *entry.Entry, log hclog.Logger) {
	platformSettings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		log.Error("settings not reloaded; the previous settings remain in force", "error", err.Error())
		return
	}
	e.SetShutdownGrace(platformSettings.Bounds.ShutdownGrace)
	log.Info("settings reloaded", "grace_ms", platformSettings.Bounds.ShutdownGrace.Milliseconds())
}
