package hostmetrics

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cherrystage/cherrystage/internal/contention"
	"github.com/pkg/errors"
)

const (
	// concurrentReads is the number of hosts that are read at the same time.
	concurrentReads = 16
	// hostTimeout limits the time to read one host's page, so that the hosts that don't answer
	// leave time for the others: 460 of which 32 are lost take two rounds of it.
	hostTimeout = 2 * time.Second
	// metricsPort and metricsPath are where hosts serve their metrics.
	metricsPort = "7399"
	metricsPath = "/metrics"
)

// contentionPage is the part of a host's metrics page on contention.
type contentionPage struct {
	Contention *contention.Page `json:"contention"`
}

var errNoContention = errors.New("metrics: the host reports nothing on contention, as an earlier version does")

// PageURL returns the URL of a host's metrics page. A host may be given by its URL, which is
// returned as it is, by name or address, and with a port other than the usual one.
func PageURL(host string) string {
	if strings.Contains(host, "://") {
		return host
	}
	if _, _, err := net.SplitHostPort(host); err == nil {
		return "http://" + host + metricsPath
	}
	return "http://" + net.JoinHostPort(strings.Trim(host, "[]"), metricsPort) + metricsPath
}

// SumContention reads the metrics pages of hosts and merges what they report of contention. Hosts
// whose pages cannot be read are listed in the result, in the given order.
func SumContention(ctx context.Context, hosts []string) contention.Fleet {
	pages := make([]contention.Page, len(hosts))
	errs := make([]error, len(hosts))
	var reads sync.WaitGroup
	slots := make(chan struct{}, concurrentReads)
	for i, host := range hosts {
		slots <- struct{}{}
		reads.Go(func() {
			defer func() { <-slots }()
			pages[i], errs[i] = readContention(ctx, host)
		})
	}
	reads.Wait()
	var read []contention.HostPage
	var missing []contention.Missing
	for i, host := range hosts {
		if errs[i] != nil {
			missing = append(missing, contention.Missing{Host: host, Error: errs[i].Error()})
			continue
		}
		read = append(read, contention.HostPage{Host: host, Page: pages[i]})
	}
	fleet := contention.Merge(read)
	fleet.Missing = missing
	return fleet
}

func readContention(ctx context.Context, host string) (contention.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	var fetched contentionPage
	if err := fetchPage(ctx, PageURL(host), &fetched); err != nil {
		return contention.Page{}, err
	}
	if fetched.Contention == nil {
		return contention.Page{}, errNoContention
	}
	return *fetched.Contention, nil
}
