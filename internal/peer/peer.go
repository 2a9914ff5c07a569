// Package peer carries calls between the project's own processes: JSON-RPC 2.0 over TCP, with
// the jsonrpc2 library, after a handshake in which both sides prove that they hold a shared key.
package peer

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// MaxMessageBytes bounds the size of one message.
const MaxMessageBytes = 4 << 20

// Methods of the handshake.
const (
	methodHello = "hello"
	methodProve = "prove"
)

// Error codes in addition to those of JSON-RPC.
const (
	CodeUnauthorized int64 = 1001
	// CodeRefused means that the peer did not execute the call and will not.
	CodeRefused int64 = 1002
)

// Identity names the process at the other end of a connection.
type Identity struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

type helloParams struct {
	Identity
	Nonce string `json:"nonce"`
}

type helloResult struct {
	Identity
	Nonce string `json:"nonce"`
	Proof string `json:"proof"`
}

type proveParams struct {
	Proof string `json:"proof"`
}

// computeProof returns the proof that a side holds the key, an HMAC of role, nonce and identity.
// The role prevents one side's proof from being reflected as the other's.
func computeProof(key []byte, role, nonce string, id Identity) string {
	mac := hmac.New(sha256.New, key)
	_, _ = io.WriteString(mac, role+"\x00"+nonce+"\x00"+id.Host+"\x00"+id.Incarnation)
	return hex.EncodeToString(mac.Sum(nil))
}

func equalProofs(a, b string) bool { return hmac.Equal([]byte(a), []byte(b)) }

func newNonce() string {
	var nonce [16]byte
	_, _ = rand.Read(nonce[:])
	return hex.EncodeToString(nonce[:])
}

// boundedCodec is the library's length-prefixed codec with a limit on the length, so that a peer
// cannot make this process allocate whatever length it announces.
type boundedCodec struct{ jsonrpc2.VarintObjectCodec }

func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	header, err := stream.Peek(1)
	if err != nil {
		return err
	}
	for length := 1; header[length-1]&0x80 != 0 && length < binary.MaxVarintLen64; length++ {
		if header, err = stream.Peek(length + 1); err != nil {
			return err
		}
	}
	size, n := binary.Uvarint(header)
	if n <= 0 || size > MaxMessageBytes {
		return errors.Errorf("message of %d bytes exceeds the limit of %d", size, MaxMessageBytes)
	}
	return c.VarintObjectCodec.ReadObject(stream, v)
}

// Handler serves one method for an authenticated peer.
type Handler func(ctx context.Context, from Identity, params json.RawMessage) (any, error)

// Mux holds the methods that peers may call. All methods must be added before it is used.
type Mux struct{ handlers map[string]Handler }

// NewMux returns a mux without methods.
func NewMux() *Mux { return &Mux{handlers: map[string]Handler{}} }

// Handle adds a method with typed parameters and result.
func Handle[P, R any](m *Mux, method string, serve func(ctx context.Context, from Identity, params P) (R, error)) {
	m.handlers[method] = func(ctx context.Context, from Identity, raw json.RawMessage) (any, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		return serve(ctx, from, params)
	}
}

// NewRefusal returns an error that tells the calling peer that the call was not executed.
func NewRefusal(err error) error {
	return &jsonrpc2.Error{Code: CodeRefused, Message: err.Error()}
}

// IsRefusal reports whether an error is a peer's statement that the call was not executed.
func IsRefusal(err error) bool {
	var rpc *jsonrpc2.Error
	return errors.As(err, &rpc) && rpc.Code == CodeRefused
}
