package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cherrystage/cherrystage/internal/awake"
	"github.com/cherrystage/cherrystage/internal/standin"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/shoenig/test/must"
	"github.com/sourcegraph/jsonrpc2"
)

type echoParams struct {
	Text   string `json:"text"`
	WaitMS int    `json:"wait_ms"`
}

func echoMux() *Mux {
	mux := NewMux()
	Handle(mux, "echo", func(_ context.Context, from Identity, p echoParams) (string, error) {
		time.Sleep(time.Duration(p.WaitMS) * time.Millisecond)
		return from.Host + ": " + p.Text, nil
	})
	Handle(mux, "refuse", func(context.Context, Identity, echoParams) (string, error) {
		return "", NewRefusal(errors.New("not now"))
	})
	return mux
}

// withPeers runs a test with a server "b" and a pool of process "a" with the given key.
func withPeers(t *testing.T, clientKey string, run func(t *testing.T, pool *Pool, server *Server, network *standin.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		network := standin.NewNetwork()
		listener, err := network.Host("b").Listen("82")
		must.NoError(t, err)
		server := NewServer(Identity{"b", "1"}, []byte("the right key"), echoMux(), hclog.NewNullLogger())
		go func() { _ = server.Serve(listener) }()
		pool := NewPool(Identity{"a", "1"}, []byte(clientKey), network.Host("a").Dial, hclog.NewNullLogger())
		run(t, pool, server, network)
		pool.Close()
		server.Close()
		_ = listener.Close()
		network.Close()
		time.Sleep(time.Minute)
	})
}

func call(pool *Pool, method string, params echoParams, timeout time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var result string
	err := pool.Call(ctx, "b:82", method, params, &result)
	return result, err
}

func TestCallAndRefusal(t *testing.T) {
	withPeers(t, "the right key", func(t *testing.T, pool *Pool, _ *Server, _ *standin.Network) {
		got, err := call(pool, "echo", echoParams{Text: "hello"}, time.Second)
		must.NoError(t, err)
		must.Eq(t, "a: hello", got)
		_, err = call(pool, "refuse", echoParams{}, time.Second)
		must.True(t, IsRefusal(err))
		_, err = call(pool, "nothing", echoParams{}, time.Second)
		must.Error(t, err)
		must.False(t, IsRefusal(err))
	})
}

func TestUnauthenticatedPeerIsRejectedAndCounted(t *testing.T) {
	// A process with a wrong key and one that skips the handshake are rejected. The server
	// counts the rejected call.
	withPeers(t, "a wrong key", func(t *testing.T, pool *Pool, server *Server, network *standin.Network) {
		_, err := call(pool, "echo", echoParams{Text: "hello"}, time.Second)
		must.ErrorContains(t, err, "shared key")
		conn, err := network.Host("a").Dial(context.Background(), "tcp", "b:82")
		must.NoError(t, err)
		rpc := jsonrpc2.NewConn(context.Background(), jsonrpc2.NewBufferedStream(conn, boundedCodec{}), ignoreCalls{})
		err = rpc.Call(context.Background(), "echo", echoParams{}, nil)
		must.ErrorContains(t, err, "not authorized")
		must.Eq(t, 1, server.Rejected())
		// A connection whose peer does not prove the key is closed.
		time.Sleep(2 * handshakeTimeout)
		must.Error(t, rpc.Call(context.Background(), "echo", echoParams{}, nil))
	})
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	// The connection to a peer goes silent. One call exceeds its deadline; the next uses a
	// new connection and is answered.
	withPeers(t, "the right key", func(t *testing.T, pool *Pool, _ *Server, network *standin.Network) {
		_, err := call(pool, "echo", echoParams{}, time.Second)
		must.NoError(t, err)
		network.Blackhole("a", "b")
		_, err = call(pool, "echo", echoParams{}, time.Second)
		must.Error(t, err)
		_, err = call(pool, "echo", echoParams{}, time.Second)
		must.NoError(t, err)
	})
}

func TestSlowCallDoesNotBlockOthers(t *testing.T) {
	withPeers(t, "the right key", func(t *testing.T, pool *Pool, _ *Server, _ *standin.Network) {
		slow := make(chan error, 1)
		go func() {
			_, err := call(pool, "echo", echoParams{WaitMS: 5000}, 10*time.Second)
			slow <- err
		}()
		time.Sleep(time.Millisecond)
		began := time.Now()
		_, err := call(pool, "echo", echoParams{}, time.Second)
		must.NoError(t, err)
		must.Less(t, time.Second, time.Since(began))
		must.NoError(t, <-slow)
	})
}

func FuzzBoundedMessages(f *testing.F) {
	f.Add([]byte{0x02, '{', '}'})
	f.Add(binary.AppendUvarint(nil, MaxMessageBytes+1))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		// Reading a message returns for any input, with an error if the announced length
		// exceeds the limit.
		var into any
		err := boundedCodec{}.ReadObject(bufio.NewReader(bytes.NewReader(data)), &into)
		if size, n := binary.Uvarint(data); n > 0 && size > MaxMessageBytes {
			must.Error(t, err)
		}
	})
}

// A host loses power. One call tries to connect for a second; later ones have 100 ms each and
// must return at their own deadlines. If they waited for the first call, their requests would be
// too late for another runner.
func TestCallsToASilentHostKeepTheirOwnDeadlines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		pool := NewPool(Identity{"a", "1"}, nil, silent, hclog.NewNullLogger())
		go func() { _, _ = call(pool, "echo", echoParams{}, time.Second) }()
		time.Sleep(10 * time.Millisecond)
		begin := time.Now()
		for range 3 {
			_, err := call(pool, "echo", echoParams{}, 100*time.Millisecond)
			must.ErrorIs(t, err, context.DeadlineExceeded)
		}
		must.Eq(t, 300*time.Millisecond, time.Since(begin))
		time.Sleep(2 * time.Second)
	})
}

// A call waits for an answer that takes two seconds. A second call on the connection exceeds its
// deadline while a third is answered, so the peer is only slow. The connection must stay open,
// so that the first call gets its answer.
func TestSlowAnswerDoesNotEndOtherCalls(t *testing.T) {
	withPeers(t, "the right key", func(t *testing.T, pool *Pool, _ *Server, _ *standin.Network) {
		long := make(chan error, 1)
		go func() {
			_, err := call(pool, "echo", echoParams{WaitMS: 2000}, 3*time.Second)
			long <- err
		}()
		time.Sleep(100 * time.Millisecond)
		late := make(chan error, 1)
		go func() {
			_, err := call(pool, "echo", echoParams{WaitMS: 1000}, 400*time.Millisecond)
			late <- err
		}()
		time.Sleep(100 * time.Millisecond)
		_, err := call(pool, "echo", echoParams{}, 400*time.Millisecond)
		must.NoError(t, err)
		must.Error(t, <-late)
		must.NoError(t, <-long)
	})
}

// A host is suspended while two calls to a peer wait for their answers, which lie in its socket when
// it wakes. The first call's deadline passed meanwhile. If it closed the connection as silent, both
// calls would fail, and the host would take the peer for unreachable.
func TestCallOutlastsAStandstill(t *testing.T) {
	for _, length := range []time.Duration{1500 * time.Millisecond, 3 * time.Second} {
		withPeers(t, "the right key", func(t *testing.T, pool *Pool, _ *Server, network *standin.Network) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			process := standin.StartProcess(ctx)
			pool.Clock = awake.Clock{Now: time.Now, Standstill: &process.Monitor}
			_, err := call(pool, "echo", echoParams{}, time.Second)
			must.NoError(t, err)
			other := make(chan error, 1)
			go func() {
				_, err := call(pool, "echo", echoParams{WaitMS: 100}, 10*time.Second)
				other <- err
			}()
			time.AfterFunc(10*time.Millisecond, func() {
				process.Suspend(length)
				network.Silence("a", length)
			})
			begin := time.Now()
			_, err = call(pool, "echo", echoParams{WaitMS: 50}, 250*time.Millisecond)
			must.NoError(t, err)
			must.Eq(t, length+10*time.Millisecond, time.Since(begin))
			must.NoError(t, <-other)
		})
	}
}

// A peer is silent before and after a standstill: the call ends once it has waited for its time limit
// without the standstill, and the connection is replaced.
func TestSilentConnectionIsReplacedAfterAStandstill(t *testing.T) {
	withPeers(t, "the right key", func(t *testing.T, pool *Pool, _ *Server, network *standin.Network) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		process := standin.StartProcess(ctx)
		pool.Clock = awake.Clock{Now: time.Now, Standstill: &process.Monitor}
		_, err := call(pool, "echo", echoParams{}, time.Second)
		must.NoError(t, err)
		network.Blackhole("a", "b")
		time.AfterFunc(10*time.Millisecond, func() { process.Suspend(1500 * time.Millisecond) })
		begin := time.Now()
		_, err = call(pool, "echo", echoParams{}, 250*time.Millisecond)
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.Between(t, 1600*time.Millisecond, time.Since(begin), 1900*time.Millisecond)
		_, err = call(pool, "echo", echoParams{}, 250*time.Millisecond)
		must.NoError(t, err)
	})
}
