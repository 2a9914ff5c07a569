// Command cherrystaged is the daemon that runs on every entry host.
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

	"github.com/cherrystage/cherrystage/internal/callerconn"
	"github.com/cherrystage/cherrystage/internal/node"
	"github.com/cherrystage/cherrystage/internal/resetconn"
	"github.com/cherrystage/cherrystage/internal/settings"
	"github.com/cherrystage/cherrystage/internal/standalone"
	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// version is set by the build.
var version = "dev"

// defaultGCPercent trades some CPU time for memory: the hosts are small, and most of the heap
// consists of buffers of open streams.
const defaultGCPercent = 50

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	cfg, err := parseSettings(os.Args[1:])
	if err != nil {
		os.Exit(exitUsage)
	}
	if cfg.Version {
		fmt.Println("cherrystaged", version)
		return
	}
	if cfg.Platform {
		os.Exit(servePlatform(cfg))
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "cherrystaged", Level: hclog.LevelFromString(cfg.LogLevel), JSONFormat: true, Output: os.Stderr})
	debug.SetGCPercent(defaultGCPercent)
	if err := serve(cfg, log); err != nil {
		log.Error("ended", "error", err)
		os.Exit(exitFailure)
	}
}

// parseSettings parses and validates the settings and prints errors to standard error.
func parseSettings(args []string) (*settings.Settings, error) {
	cfg := &settings.Settings{}
	parser := flags.NewParser(cfg, flags.Default)
	rest, err := parser.ParseArgs(args)
	if flags.WroteHelp(err) {
		os.Exit(0)
	}
	if err != nil {
		return nil, err
	}
	if len(rest) > 0 {
		err = errors.Errorf("unexpected argument %q", rest[0])
	} else if !cfg.Version && !cfg.Platform {
		err = cfg.Check()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "cherrystaged:", err)
	}
	return cfg, err
}

// dialOwnMode sends keep-alive probes early, so that a connection that a device between two hosts has
// dropped is found before a request uses it.
var dialOwnMode = resetconn.Dial((&net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
}).DialContext)

// serve runs all long-running components in one run group.
func serve(cfg *settings.Settings, log hclog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if cfg.Standalone {
		stopStandalone, err := standalone.Start(ctx, cfg)
		if err != nil {
			return err
		}
		defer stopStandalone()
	}
	listeners, err := listen(cfg)
	if err != nil {
		return err
	}
	n := node.New(cfg, dialOwnMode, log)
	expvar.Publish("cherrystage", n.Vars())
	callers, operators := n.CallerServer(), n.OperatorServer()

	var group run.Group
	group.Add(func() error { n.Background(ctx); return nil }, func(error) { cancel() })
	group.Add(func() error { return n.ServePeers(listeners.Peers) }, func(error) { _ = listeners.Peers.Close() })
	group.Add(func() error { return ignoreServerClosed(operators.Serve(listeners.Operators)) }, func(error) { _ = operators.Close() })
	addCallerServer(&group, func() error { return callers.Serve(listeners.Callers) }, func() { _ = callers.Close() })
	addSignalHandler(&group, n, callers, log)
	log.Info("serving", "host", cfg.Host, "callers", cfg.CallersListen, "operators", cfg.OperatorsListen, "peers", cfg.PeersListen, "standalone", cfg.Standalone)
	return group.Run()
}

func listen(cfg *settings.Settings) (node.Listeners, error) {
	var listeners node.Listeners
	for _, endpoint := range []struct {
		flag, address string
		destination   *net.Listener
	}{
		{"--callers", cfg.CallersListen, &listeners.Callers},
		{"--operators", cfg.OperatorsListen, &listeners.Operators},
		{"--peers", cfg.PeersListen, &listeners.Peers},
	} {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			return listeners, errors.Wrap(err, endpoint.flag)
		}
		*endpoint.destination = listener
	}
	return listeners, nil
}

// addCallerServer adds the server for callers. A graceful stop closes this server before it
// ends the run group. If the actor returned when its server closes, the group would end too
// early, so it waits for the end of the group.
func addCallerServer(group *run.Group, serve func() error, stop func()) {
	done := make(chan struct{})
	group.Add(func() error {
		if err := ignoreServerClosed(serve()); err != nil {
			return err
		}
		<-done
		return nil
	}, func(error) {
		stop()
		close(done)
	})
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// addSignalHandler stops the daemon gracefully at the first signal and immediately at the
// second.
func addSignalHandler(group *run.Group, n *node.Node, callers *callerconn.Server, log hclog.Logger) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ctx, cancel := context.WithCancel(context.Background())
	group.Add(func() error {
		select {
		case <-ctx.Done():
			return nil
		case sig := <-signals:
			log.Info("stopping gracefully", "signal", sig.String())
		}
		go func() {
			<-signals
			log.Warn("second signal: stopping immediately")
			cancel()
		}()
		cut, err := n.Shutdown(ctx, callers)
		log.Info("stopped", "requests_cut_off", cut)
		return err
	}, func(error) { cancel() })
}
