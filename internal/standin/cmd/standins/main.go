// Command standins runs stand-ins for the platform and a few engines in one process,
// for trying out several entry hosts on one machine.
package main

import (
	"fmt"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/jessevdk/go-flags"
)

type options struct {
	Listen    string        `long:"listen" default:"127.0.0.1:9000" description:"address of the platform"`
	Runners   int           `long:"runners" default:"4" description:"number of engines"`
	Unfenced  int           `long:"unfenced" default:"0" description:"number of engines that ignore fencing tokens"`
	Slots     int           `long:"slots" default:"4" description:"adapter slots of an engine"`
	MaxBatch  int           `long:"max-batch" default:"32" description:"places in an engine's batch"`
	TokenTime time.Duration `long:"token-time" default:"20ms" description:"time per token"`
	LoadTime  time.Duration `long:"load-time" default:"300ms" description:"time per load at full speed"`
	ReportLag time.Duration `long:"report-lag" default:"200ms" description:"lag of the load reports"`
	Parallel  int           `long:"parallel" default:"1" description:"number of concurrent loads at full speed"`
	Entries   []string      `long:"entry" value-name:"ID=DC=HOST:PORT" description:"entry host to list, with its data centre and its address for peers"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "standins:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	listen := func(name string) (net.Listener, error) {
		if name == "platform" {
			return net.Listen("tcp", opts.Listen)
		}
		return standin.Loopback(name)
	}
	env, err := standin.NewEnvironment(standin.EnvironmentConfig{
		Runners: opts.Runners, Unfenced: opts.Unfenced, Slots: opts.Slots, MaxBatch: opts.MaxBatch,
		TokenTime: opts.TokenTime, LoadTime: opts.LoadTime, ReportLag: opts.ReportLag, ParallelLoads: opts.Parallel,
		Base: "base", DataCentre: "local", Service: "dispatch-api",
	}, listen)
	if err != nil {
		return err
	}
	defer env.Close()
	for _, entry := range opts.Entries {
		parts := strings.SplitN(entry, "=", 3)
		if len(parts) != 3 {
			return fmt.Errorf("--entry %q: want ID=DC=HOST:PORT", entry)
		}
		env.AddEntry(parts[0], parts[1], parts[2])
	}
	fmt.Println("platform at", env.Address)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	evictedInUse := 0
	for _, e := range env.Engines {
		evictedInUse += e.Counts().EvictedInUse
	}
	fmt.Println("evicted in use:", evictedInUse)
	return nil
}
