// Package peer carries calls between the project's own processes: JSON-RPC 2.0
// over TCP, by the jsonrpc2 library, behind a proof of the shared key.
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

// MaxMessageBytes bounds one message.
const MaxMessageBytes = 4 << 20

// Methods of the handshake.
const (
	methodHello = "hello"
	methodProve = "prove"
)

// Error codes beside those of JSON-RPC.
const (
	CodeUnauthorized int64 = 1001
	// CodeRefused: the peer will not do it, and has not done it.
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

// prove computes the proof that a side knows the key. The role keeps one
// side's proof from being sent back as the other's.
func prove(key []byte, role, nonce string, id Identity) string {
	mac := hmac.New(sha256.New, key)
	_, _ = io.WriteString(mac, role+"\x00"+nonce+"\x00"+id.Host+"\x00"+id.Incarnation)
	return hex.EncodeToString(mac.Sum(nil))
}

func sameProof(a, b string) bool { return hmac.Equal([]byte(a), []byte(b)) }

func newNonce() string {
	var nonce [16]byte
	_, _ = rand.Read(nonce[:])
	return hex.EncodeToString(nonce[:])
}

// codec is the library's length-prefixed codec with a bound on the length, so
// that a peer cannot make this process hold what it announces.
type codec struct{ jsonrpc2.VarintObjectCodec }

func (c codec) ReadObject(stream *bufio.Reader, v any) error {
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
		return errors.Errorf("message of %d bytes is over the bound of %d", size, MaxMessageBytes)
	}
	return c.VarintObjectCodec.ReadObject(stream, v)
}

// Handler serves one method for a proven peer.
type Handler func(ctx context.Context, from Identity, params json.RawMessage) (any, error)

// Mux holds the methods that peers may call. It is filled before it serves.
type Mux struct{ handlers map[string]Handler }

// NewMux makes a mux without methods.
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

// NewRefusal makes an error that tells the caller that nothing was done.
func NewRefusal(err error) error {
	return &jsonrpc2.Error{Code: CodeRefused, Message: err.Error()}
}

// IsRefusal says whether an error is a peer's word that nothing was done.
func IsRefusal(err error) bool {
	var rpc *jsonrpc2.Error
	return errors.As(err, &rpc) && rpc.Code == CodeRefused
}
