package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/adminapi"
	"github.com/cherrystage/cherrystage/internal/adminclient"
	"github.com/cherrystage/cherrystage/internal/callerapi"
	"github.com/cherrystage/cherrystage/internal/callerconn"
	"github.com/cherrystage/cherrystage/internal/inventory"
	"github.com/cherrystage/cherrystage/internal/settings"
	"github.com/cherrystage/cherrystage/internal/standalone"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	"github.com/shoenig/test/must"
)

const (
	callerKey   = "caller-key"
	operatorKey = "operator-key"
	testPeerKey = "0123456789abcdef"
)

// cluster is a small set of entry hosts with stand-ins for the platform and the engines, on an
// in-memory network in virtual time.
type cluster struct {
	t     *testing.T
	net   *standin.Network
	env   *standin.Environment
	nodes map[string]*testNode
	// configure changes the settings of nodes before they are started.
	configure func(cfg *settings.Settings)
}

type testNode struct {
	*Node
	id      string
	cancel  context.CancelFunc
	done    chan struct{}
	callers *callerconn.Server
	servers []httpServer
	closers []io.Closer
}

// httpServer is a server for callers or operators.
type httpServer interface {
	io.Closer
	Serve(listener net.Listener) error
}

func smallEnvironment() standin.EnvironmentConfig {
	return standin.EnvironmentConfig{
		Runners: 2, Slots: 2, MaxBatch: 8, TokenTime: 20 * time.Millisecond, LoadTime: 300 * time.Millisecond,
		ReportLag: 200 * time.Millisecond, ParallelLoads: 1, Base: "base", DataCentre: "hall", Service: "dispatch",
	}
}

// inCluster runs a test in virtual time with the given number of entry hosts, once they are
// ready.
func inCluster(t *testing.T, hosts int, envConfig standin.EnvironmentConfig, run func(c *cluster)) {
	t.Helper()
	inConfiguredCluster(t, hosts, envConfig, nil, run)
}

// inConfiguredCluster is like inCluster, with changed settings.
func inConfiguredCluster(t *testing.T, hosts int, envConfig standin.EnvironmentConfig, configure func(cfg *settings.Settings), run func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, envConfig)
		c.configure = configure
		defer c.close()
		for i := range hosts {
			c.start(fmt.Sprintf("e%d", i+1))
		}
		c.apply(sampleDocument())
		// Wait for leases, ownership and shares to settle.
		time.Sleep(6 * time.Second)
		run(c)
	})
}

func newCluster(t *testing.T, cfg standin.EnvironmentConfig) *cluster {
	t.Helper()
	network := standin.NewNetwork()
	env, err := standin.NewEnvironment(cfg, func(name string) (net.Listener, error) { return network.Host(name).Listen("80") })
	must.NoError(t, err)
	return &cluster{t: t, net: network, env: env, nodes: map[string]*testNode{}}
}

func sampleDocument() inventory.Document {
	document := inventory.Document{
		Callers: []inventory.Caller{
			{Name: "pilot", KeyDigest: standalone.Digest(callerKey), Priority: 5},
			{Name: "farm", KeyDigest: standalone.Digest("farm-key")},
		},
		Services: []inventory.Service{{Name: "dispatch", Callers: []string{"*"}}},
		Rules:    []inventory.Rule{{Name: "once", Service: "dispatch", PathPrefix: "/tugs", NonIdempotent: true}},
	}
	for i := range 8 {
		document.Adapters = append(document.Adapters, inventory.Adapter{
			Name: fmt.Sprintf("a%d", i), Base: "base", Versions: []string{"1", "2"}, Current: "1", Callers: []string{"pilot"},
		})
	}
	return document
}

func defaultSettings(t *testing.T) *settings.Settings {
	t.Helper()
	cfg := &settings.Settings{}
	_, err := flags.NewParser(cfg, flags.None).ParseArgs(nil)
	must.NoError(t, err)
	return cfg
}

// start starts an entry host and adds it to the host list.
func (c *cluster) start(id string) *testNode {
	c.t.Helper()
	cfg := defaultSettings(c.t)
	cfg.Host, cfg.DataCentre = id, "hall"
	cfg.ObjectAPI = "http://" + c.env.Address
	cfg.HostList = cfg.ObjectAPI
	cfg.CallersListen, cfg.OperatorsListen, cfg.PeersListen = id+":80", id+":81", id+":82"
	cfg.PeerKey = testPeerKey
	cfg.OperatorKeys = []string{"kim=" + standalone.Digest(operatorKey)}
	if c.configure != nil {
		c.configure(cfg)
	}
	must.NoError(c.t, cfg.Check())
	c.env.AddEntry(id, "hall", cfg.PeersListen)
	host := c.net.Host(id)
	n := New(cfg, host.Dial, hclog.New(&hclog.LoggerOptions{Level: logLevel, Output: testLog{c.t}, Name: id}))
	ctx, cancel := context.WithCancel(context.Background())
	node := &testNode{Node: n, id: id, cancel: cancel, done: make(chan struct{}), callers: n.CallerServer()}
	node.servers = []httpServer{node.callers, n.OperatorServer()}
	for i, server := range node.servers {
		listener, err := host.Listen(fmt.Sprint(80 + i))
		must.NoError(c.t, err)
		go func() { _ = server.Serve(listener) }()
	}
	peers, err := host.Listen("82")
	must.NoError(c.t, err)
	node.closers = append(node.closers, peers)
	go func() { _ = n.ServePeers(peers) }()
	go func() { defer close(node.done); n.Background(ctx) }()
	c.nodes[id] = node
	return node
}

// logLevel can be raised to debug a test.
const logLevel = hclog.Off

type testLog struct{ t *testing.T }

func (l testLog) Write(text []byte) (int, error) {
	l.t.Log(string(bytes.TrimSpace(text)))
	return len(text), nil
}

// kill terminates an entry host without a shutdown, like kill -9.
func (c *cluster) kill(id string) {
	node := c.nodes[id]
	delete(c.nodes, id)
	c.net.Partition(id, "*")
	node.cancel()
	for _, server := range node.servers {
		_ = server.Close()
	}
	for _, closer := range node.closers {
		_ = closer.Close()
	}
	<-node.done
	c.net.Heal(id, "*")
}

func (c *cluster) close() {
	for id := range c.nodes {
		c.kill(id)
	}
	c.env.Close()
	c.net.Close()
	// Let clients notice that their connections were closed.
	time.Sleep(time.Minute)
}

func (c *cluster) transport(host string) *http.Transport {
	return &http.Transport{DialContext: c.net.Host("client-" + host).Dial, DisableKeepAlives: true}
}

func (c *cluster) admin(host string) *adminclient.Client {
	return adminclient.New("http://"+host+":81", operatorKey, c.transport(host))
}

// apply replaces the inventory by the document, through any host.
func (c *cluster) apply(document inventory.Document) adminapi.ChangeResult {
	c.t.Helper()
	for id := range c.nodes {
		// The host may not have read the current revision yet.
		time.Sleep(time.Second)
		revision := c.nodes[id].Snapshot().Revision()
		result, err := c.admin(id).Change(context.Background(), adminapi.ChangeRequest{ChangeID: fmt.Sprint("apply-", revision), From: revision, Document: &document})
		must.NoError(c.t, err)
		return result
	}
	c.t.Fatal("no host")
	return adminapi.ChangeResult{}
}

// addAdapter adds an adapter to the inventory.
func (c *cluster) addAdapter(name string) {
	c.t.Helper()
	document := c.nodes["e1"].Snapshot().Document()
	document.Adapters = append(document.Adapters, inventory.Adapter{
		Name: name, Base: "base", Versions: []string{"1"}, Current: "1", Callers: []string{"pilot"},
	})
	c.apply(document)
	time.Sleep(3 * time.Second)
}

// response is what a caller received.
type response struct {
	status     int
	verdict    string
	code       string
	retryAfter string
	text       string
	model      string
	err        error
}

// complete sends a completion request through a host and returns the response.
func (c *cluster) complete(host, model, id string, tokens int, header ...string) response {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d}`, model, tokens)
	return c.send(host, "/v1/completions", body, append(header, callerapi.HeaderRequestID, id)...)
}

func (c *cluster) send(host, path, body string, header ...string) response {
	req, err := http.NewRequest(http.MethodPost, "http://"+host+":80"+path, bytes.NewReader([]byte(body)))
	must.NoError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := c.transport(host).RoundTrip(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return parseResponse(resp, text, err)
}

func parseResponse(resp *http.Response, text []byte, err error) response {
	got := response{status: resp.StatusCode, verdict: resp.Header.Get(callerapi.HeaderVerdict), retryAfter: resp.Header.Get("Retry-After"), err: err}
	var body struct {
		Code    string `json:"code"`
		Model   string `json:"model"`
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal(text, &body) == nil {
		got.code, got.model = body.Code, body.Model
	}
	if len(body.Choices) > 0 {
		got.text = body.Choices[0].Text
	}
	return got
}

// completeText is the response text of a stand-in engine for a number of tokens.
func completeText(tokens int) string {
	text := ""
	for i := range tokens {
		text += fmt.Sprintf("t%d ", i)
	}
	return text
}

// requireComplete fails the test unless the response is complete and from the given model.
func requireComplete(t *testing.T, got response, model string, tokens int) {
	t.Helper()
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status, must.Sprintf("%+v", got))
	must.Eq(t, model, got.model)
	must.Eq(t, completeText(tokens), got.text)
	must.Eq(t, "ran", got.verdict)
}

// evictedInUse returns the number of evictions of models in use on all engines.
func (c *cluster) evictedInUse() int {
	evicted := 0
	for _, e := range c.env.Engines {
		evicted += e.Counts().EvictedInUse
	}
	return evicted
}

// runs returns how often a request was started on any engine.
func (c *cluster) runs(id string) int {
	runs := 0
	for _, e := range c.env.Engines {
		runs += e.Runs(id)
	}
	return runs
}

// ownerOf returns the host that owns a runner, or "".
func (c *cluster) ownerOf(runner string) string {
	for id, node := range c.nodes {
		for _, owned := range node.controller.Owned() {
			if owned == runner {
				return id
			}
		}
	}
	return ""
}
