// Package settings defines the daemon's settings, which are read from flags and environment
// variables and validated at startup.
package settings

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cherrystage/cherrystage/internal/credential"
	"github.com/pkg/errors"
)

// Settings are all settings of the daemon. Each flag, except --version, has an equivalent
// environment variable.
type Settings struct {
	Standalone bool `long:"standalone" env:"CHERRYSTAGE_STANDALONE" description:"run alone, with a stand-in platform, stand-in engines and a sample inventory in this process; for first tries only"`

	Platform bool `long:"platform" env:"CHERRYSTAGE_PLATFORM" description:"run on the users' platform: addresses, bounds and the store come from the platform's own settings file"`

	Host       string `long:"host" env:"CHERRYSTAGE_HOST" default:"local" description:"this host's identifier, as the host list gives it"`
	DataCentre string `long:"data-centre" env:"CHERRYSTAGE_DATA_CENTRE" default:"local" description:"this host's data centre"`
	Region     string `long:"region" env:"CHERRYSTAGE_REGION" default:"local" description:"this host's region"`

	CallersListen   string `long:"callers" env:"CHERRYSTAGE_CALLERS" default:"127.0.0.1:8080" description:"address that callers reach"`
	OperatorsListen string `long:"operators" env:"CHERRYSTAGE_OPERATORS" default:"127.0.0.1:8081" description:"address of the administration API"`
	PeersListen     string `long:"peers" env:"CHERRYSTAGE_PEERS" default:"127.0.0.1:8082" description:"address that other entry hosts reach"`
	PeerAddress     string `long:"peer-address" env:"CHERRYSTAGE_PEER_ADDRESS" description:"address under which peers reach --peers, if it differs"`
	SeedPeers       string `long:"seed-peers" env:"CHERRYSTAGE_SEED_PEERS" description:"peers' addresses, separated by commas, to start from while the host list is away"`

	ObjectAPI string `long:"object-api" env:"CHERRYSTAGE_OBJECT_API" default:"http://127.0.0.1:9000" description:"URL of the platform's object API"`
	HostList  string `long:"host-list" env:"CHERRYSTAGE_HOST_LIST" default:"http://127.0.0.1:9000" description:"URL of the platform's host list"`

	WeightStore string `long:"weight-store" env:"CHERRYSTAGE_WEIGHT_STORE" description:"URL of the weight store; if given, a lower rate that it tells goes before --load-rate"`

	PeerKey      string   `long:"peer-key" env:"CHERRYSTAGE_PEER_KEY" description:"key that all entry hosts share, at least 16 characters"`
	OperatorKeys []string `long:"operator" env:"CHERRYSTAGE_OPERATOR_KEYS" env-delim:"," value-name:"NAME=DIGEST" description:"operator and the SHA-256 digest of its key in hexadecimal; may be given more than once"`

	LogLevel string `long:"log-level" env:"CHERRYSTAGE_LOG_LEVEL" default:"info" description:"least level that is logged: debug, info, warn or error"`

	Limits  Limits `group:"Limits"`
	Timing  Timing `group:"Timing"`
	Loads   Loads  `group:"Loads and batches"`
	Version bool   `long:"version" description:"print the version and end"`
}

// Limits bounds the resources that callers can occupy on a host.
type Limits struct {
	MaxBodyBytes   int64         `long:"max-body-bytes" env:"CHERRYSTAGE_MAX_BODY_BYTES" default:"1048576" description:"largest body of a request, in bytes"`
	MaxHeaderBytes int           `long:"max-header-bytes" env:"CHERRYSTAGE_MAX_HEADER_BYTES" default:"32768" description:"largest header of a request, in bytes"`
	MaxStreams     int           `long:"max-streams" env:"CHERRYSTAGE_MAX_STREAMS" default:"2000" description:"most requests under way at a time on this host"`
	MaxQueue       int           `long:"max-queue" env:"CHERRYSTAGE_MAX_QUEUE" default:"1000" description:"most requests waiting for a place at a time on this host"`
	MaxWait        time.Duration `long:"max-wait" env:"CHERRYSTAGE_MAX_WAIT" default:"30s" description:"longest time that a request waits for a place or a load"`
	RetryBudget    float64       `long:"retry-budget" env:"CHERRYSTAGE_RETRY_BUDGET" default:"0.2" description:"second tries allowed, as a share of first tries"`
}

// Timing sets intervals and timeouts.
type Timing struct {
	LeaseLife         time.Duration `long:"lease-life" env:"CHERRYSTAGE_LEASE_LIFE" default:"5s" description:"life of a node lease; it is renewed three times as often"`
	HeartbeatInterval time.Duration `long:"heartbeat-interval" env:"CHERRYSTAGE_HEARTBEAT_INTERVAL" default:"500ms" description:"time between heartbeats to a peer"`
	ReportInterval    time.Duration `long:"report-interval" env:"CHERRYSTAGE_REPORT_INTERVAL" default:"250ms" description:"time between readings of an engine's load report"`
	WatchWait         time.Duration `long:"watch-wait" env:"CHERRYSTAGE_WATCH_WAIT" default:"20s" description:"time that a watch on the object API waits"`
	PollInterval      time.Duration `long:"poll-interval" env:"CHERRYSTAGE_POLL_INTERVAL" default:"3s" description:"time between readings of the inventory's head that stand behind the watch"`
	ConnectTimeout    time.Duration `long:"connect-timeout" env:"CHERRYSTAGE_CONNECT_TIMEOUT" default:"1s" description:"longest set-up of a connection to a target"`
	FirstPieceTimeout time.Duration `long:"first-piece-timeout" env:"CHERRYSTAGE_FIRST_PIECE_TIMEOUT" default:"30s" description:"longest wait for the first piece of an answer"`
	SilenceTimeout    time.Duration `long:"silence-timeout" env:"CHERRYSTAGE_SILENCE_TIMEOUT" default:"5s" description:"longest gap between two pieces before the stream is taken up again"`
	OrderTimeout      time.Duration `long:"order-timeout" env:"CHERRYSTAGE_ORDER_TIMEOUT" default:"20s" description:"longest wait for an engine to carry out an order"`
	DrainNotice       time.Duration `long:"drain-notice" env:"CHERRYSTAGE_DRAIN_NOTICE" default:"5s" description:"time after SIGTERM in which new work is still taken, until the balancer has noticed"`
	DrainLimit        time.Duration `long:"drain-limit" env:"CHERRYSTAGE_DRAIN_LIMIT" default:"10m" description:"longest time after SIGTERM that open streams may take"`
}

// Loads sets the rate of loads that the weight store allows and the preset that weighs short
// stalls against full batches.
type Loads struct {
	Rate     float64       `long:"load-rate" env:"CHERRYSTAGE_LOAD_RATE" default:"3.5" description:"loads a second that the weight store allows to the whole deployment"`
	Parallel int           `long:"load-parallel" env:"CHERRYSTAGE_LOAD_PARALLEL" default:"1" description:"loads at a time that the weight store serves at full speed"`
	Shares   int           `long:"load-shares" env:"CHERRYSTAGE_LOAD_SHARES" default:"8" description:"parts into which the allowance is divided; at least the number of entry hosts"`
	Time     time.Duration `long:"load-time" env:"CHERRYSTAGE_LOAD_TIME" default:"300ms" description:"usual time of one load, to start from"`
	Preset   string        `long:"preset" env:"CHERRYSTAGE_PRESET" default:"stalls" description:"what weighs more: stalls (short stalls) or batches (full batches)"`
}

const (
	minPeerKeyLength      = 16 // characters
	maxRetryBudget        = 1  // retries per first attempt
	minHeartbeatsPerLease = 4
	maxDuration           = 24 * time.Hour
)

var (
	logLevels = []string{"trace", "debug", "info", "warn", "error"}
	presets   = []string{"stalls", "batches"}
)

// Check validates the settings. The error names the flag of the first invalid one.
func (s *Settings) Check() error {
	checks := []func() error{s.checkEnums, s.checkAddresses, s.checkKeys, s.checkLimits, s.checkTiming, s.checkLoads}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkEnums() error {
	if !slices.Contains(logLevels, s.LogLevel) {
		return errors.Errorf("--log-level %q: must be one of %s", s.LogLevel, strings.Join(logLevels, ", "))
	}
	if !slices.Contains(presets, s.Loads.Preset) {
		return errors.Errorf("--preset %q: must be one of %s", s.Loads.Preset, strings.Join(presets, ", "))
	}
	return nil
}

func (s *Settings) checkAddresses() error {
	addresses := map[string]string{"--callers": s.CallersListen, "--operators": s.OperatorsListen, "--peers": s.PeersListen}
	if s.PeerAddress != "" {
		addresses["--peer-address"] = s.PeerAddress
	}
	for flag, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return errors.Errorf("%s %q: must be HOST:PORT: %v", flag, address, err)
		}
	}
	if s.Host == "" || s.DataCentre == "" {
		return errors.New("--host and --data-centre must not be empty")
	}
	urls := map[string]string{"--object-api": s.ObjectAPI, "--host-list": s.HostList}
	if s.WeightStore != "" {
		urls["--weight-store"] = s.WeightStore
	}
	for flag, url := range urls {
		if !strings.HasPrefix(url, "http://") && !strings.HasPrefix(url, "https://") {
			return errors.Errorf("%s %q: must be a URL that begins with http:// or https://", flag, url)
		}
	}
	return nil
}

func (s *Settings) checkKeys() error {
	if s.Standalone {
		return nil
	}
	if len(s.PeerKey) < minPeerKeyLength {
		return errors.Errorf("--peer-key: must have at least %d characters", minPeerKeyLength)
	}
	if len(s.OperatorKeys) == 0 {
		return errors.New("--operator: at least one NAME=DIGEST is required to administer this host")
	}
	for _, operator := range s.OperatorKeys {
		name, digest, found := strings.Cut(operator, "=")
		_, err := credential.Parse(digest)
		if !found || name == "" || err != nil {
			return errors.Errorf("--operator %q: must be NAME=DIGEST with a SHA-256 digest in hexadecimal", name)
		}
	}
	return nil
}

func (s *Settings) checkLimits() error {
	l := s.Limits
	switch {
	case l.MaxBodyBytes <= 0:
		return errors.Errorf("--max-body-bytes %d: must be greater than 0", l.MaxBodyBytes)
	case l.MaxHeaderBytes <= 0:
		return errors.Errorf("--max-header-bytes %d: must be greater than 0", l.MaxHeaderBytes)
	case l.MaxStreams <= 0:
		return errors.Errorf("--max-streams %d: must be greater than 0", l.MaxStreams)
	case l.MaxQueue < 0:
		return errors.Errorf("--max-queue %d: must not be negative", l.MaxQueue)
	case l.RetryBudget < 0 || l.RetryBudget > maxRetryBudget:
		return errors.Errorf("--retry-budget %g: must be between 0 and %d", l.RetryBudget, maxRetryBudget)
	}
	return checkDurations(map[string]time.Duration{"--max-wait": l.MaxWait})
}

func (s *Settings) checkTiming() error {
	t := s.Timing
	err := checkDurations(map[string]time.Duration{
		"--lease-life": t.LeaseLife, "--heartbeat-interval": t.HeartbeatInterval, "--report-interval": t.ReportInterval,
		"--watch-wait": t.WatchWait, "--poll-interval": t.PollInterval, "--connect-timeout": t.ConnectTimeout,
		"--first-piece-timeout": t.FirstPieceTimeout, "--silence-timeout": t.SilenceTimeout,
		"--order-timeout": t.OrderTimeout, "--drain-limit": t.DrainLimit,
	})
	if err != nil {
		return err
	}
	if t.LeaseLife < minHeartbeatsPerLease*t.HeartbeatInterval {
		return errors.Errorf("--lease-life %s: must be at least %d times --heartbeat-interval %s", t.LeaseLife, minHeartbeatsPerLease, t.HeartbeatInterval)
	}
	if t.DrainNotice < 0 || t.DrainNotice >= t.DrainLimit {
		return errors.Errorf("--drain-notice %s: must not be negative and must be less than --drain-limit %s", t.DrainNotice, t.DrainLimit)
	}
	return nil
}

func (s *Settings) checkLoads() error {
	l := s.Loads
	switch {
	case l.Rate <= 0:
		return errors.Errorf("--load-rate %g: must be greater than 0", l.Rate)
	case l.Parallel <= 0:
		return errors.Errorf("--load-parallel %d: must be greater than 0", l.Parallel)
	case l.Shares <= 0:
		return errors.Errorf("--load-shares %d: must be greater than 0", l.Shares)
	}
	return checkDurations(map[string]time.Duration{"--load-time": l.Time})
}

func checkDurations(durations map[string]time.Duration) error {
	for flag, duration := range durations {
		if duration <= 0 || duration > maxDuration {
			return errors.Errorf("%s %s: must be greater than 0 and at most %s", flag, duration, maxDuration)
		}
	}
	return nil
}

// AdvertisedPeerAddress returns the address under which peers reach this host.
func (s *Settings) AdvertisedPeerAddress() string {
	if s.PeerAddress != "" {
		return s.PeerAddress
	}
	return s.PeersListen
}

// OperatorsByDigest returns the operators' names by the digests of their keys.
func (s *Settings) OperatorsByDigest() credential.Holders {
	byDigest := credential.Holders{}
	for _, pair := range s.OperatorKeys {
		name, text, _ := strings.Cut(pair, "=")
		if digest, err := credential.Parse(text); err == nil {
			byDigest[digest] = name
		}
	}
	return byDigest
}
