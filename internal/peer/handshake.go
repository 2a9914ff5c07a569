package peer

import (
	"context"
	"encoding/json"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

func (s *session) handleHello(raw json.RawMessage) (any, error) {
	var params helloParams
	if err := json.Unmarshal(raw, &params); err != nil || params.Host == "" {
		return nil, s.reject(params.Identity, "malformed hello")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peer.Host != "" {
		return nil, &jsonrpc2.Error{Code: CodeUnauthorized, Message: "second hello"}
	}
	s.peer = params.Identity
	self := s.server.self
	proof := computeProof(s.server.key, "server", params.Nonce, self)
	return helloResult{Identity: self, Nonce: s.nonce, Proof: proof}, nil
}

func (s *session) handleProve(raw json.RawMessage) (any, error) {
	var params proveParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, s.reject(Identity{}, "malformed proof")
	}
	peer, _ := s.identity()
	want := computeProof(s.server.key, "client", s.nonce, peer)
	if peer.Host == "" || !equalProofs(params.Proof, want) {
		return nil, s.reject(peer, "wrong key")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proven = true
	return struct{}{}, nil
}

// clientHandshake performs the client's side of the handshake and returns the identity of the
// server.
func clientHandshake(ctx context.Context, rpc *jsonrpc2.Conn, self Identity, key []byte) (Identity, error) {
	nonce := newNonce()
	var answer helloResult
	if err := rpc.Call(ctx, methodHello, helloParams{Identity: self, Nonce: nonce}, &answer); err != nil {
		return Identity{}, errors.Wrap(err, "hello")
	}
	if !equalProofs(answer.Proof, computeProof(key, "server", nonce, answer.Identity)) {
		return Identity{}, errors.New("the peer does not know the shared key")
	}
	proof := proveParams{Proof: computeProof(key, "client", answer.Nonce, self)}
	if err := rpc.Call(ctx, methodProve, proof, nil); err != nil {
		return Identity{}, errors.Wrap(err, "prove")
	}
	return answer.Identity, nil
}
