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

	"github.com/cherrystage/cherrystage/internal/node"
	"github.com/cherrystage/cherrystage/internal/settings"
	"github.com/cherrystage/cherrystage/internal/standalone"
	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	"github.com/oklog/run"
	"github.com/pkg/errors"
)

// version is set by the build.
var version = "dev"

// gcPercent trades a little processor time for memory: the hosts are small, and
// most of the heap is buffers of open streams.
const gcPercent = 50

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	cfg, err := parse(os.Args[1:])
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
	debug.SetGCPercent(gcPercent)
	if err := serve(cfg, log); err != nil {
		log.Error("ended", "error", err)
		os.Exit(exitFailure)
	}
}

// parse reads the settings and says on standard error what is wrong with them.
func parse(args []string) (*settings.Settings, error) {
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

// dialer probes idle connections early: something between two hosts may lose
// track of a connection, and the probes find it before a request does.
var dialer = net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}}

// serve wires every long-running part into one run group.
func serve(cfg *settings.Settings, log hclog.Logger) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if cfg.Standalone {
		closeWorld, err := standalone.Start(ctx, cfg)
		if err != nil {
			return err
		}
		defer closeWorld()
	}
	listeners, err := listen(cfg)
	if err != nil {
		return err
	}
	n := node.New(cfg, dialer.DialContext, log)
	expvar.Publish("cherrystage", n.Vars())
	callers, operators := n.CallerServer(), n.OperatorServer()

	var group run.Group
	group.Add(func() error { n.Background(ctx); return nil }, func(error) { cancel() })
	group.Add(func() error { return n.ServePeers(listeners.Peers) }, func(error) { _ = listeners.Peers.Close() })
	group.Add(func() error { return ignoreClosed(operators.Serve(listeners.Operators)) }, func(error) { _ = operators.Close() })
	addCallers(&group, func() error { return callers.Serve(listeners.Callers) }, func() { _ = callers.Close() })
	addSignals(&group, n, callers, log)
	log.Info("serving", "host", cfg.Host, "callers", cfg.CallersListen, "operators", cfg.OperatorsListen, "peers", cfg.PeersListen, "standalone", cfg.Standalone)
	return group.Run()
}

func listen(cfg *settings.Settings) (node.Listeners, error) {
	var listeners node.Listeners
	for _, want := range []struct {
		flag, address string
		into          *net.Listener
	}{
		{"--callers", cfg.CallersListen, &listeners.Callers},
		{"--operators", cfg.OperatorsListen, &listeners.Operators},
		{"--peers", cfg.PeersListen, &listeners.Peers},
	} {
		listener, err := net.Listen("tcp", want.address)
		if err != nil {
			return listeners, errors.Wrap(err, want.flag)
		}
		*want.into = listener
	}
	return listeners, nil
}

// addCallers serves callers. A graceful stop closes the server from outside
// and ends the group by itself, so the actor waits for the group's end.
func addCallers(group *run.Group, serve func() error, stop func()) {
	done := make(chan struct{})
	group.Add(func() error {
		if err := ignoreClosed(serve()); err != nil {
			return err
		}
		<-done
		return nil
	}, func(error) {
		stop()
		close(done)
	})
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// addSignals stops the daemon gracefully at the first signal and at once at
// the second.
func addSignals(group *run.Group, n *node.Node, callers *http.Server, log hclog.Logger) {
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
			log.Warn("second signal: stopping at once")
			cancel()
		}()
		cut, err := n.Shutdown(ctx, callers)
		log.Info("stopped", "requests_cut_off", cut)
		return err
	}, func(error) { cancel() })
}
