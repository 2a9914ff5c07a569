package reach

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// endCheckTimeout bounds the check whether a runner's process has ended. One that has refuses within
// a round trip.
const endCheckTimeout = 50 * time.Millisecond

// Ended reports whether a runner's process is known to have ended: it refuses a direct connection,
// and no relay reaches it, as one would if only this host's path were lost. A runner that is silent
// or resets the connection has not ended as far as is known. A connection that opens serves the next
// request.
func (c *Connector) Ended(ctx context.Context, address string) bool {
	checkCtx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	conn, err := c.dialDirect(checkCtx, "tcp", address, false)
	if err == nil {
		c.spares.keep(address, conn)
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED) && !c.relayReaches(ctx, address)
}

// relayReaches reports whether a relay connects to a runner now.
func (c *Connector) relayReaches(ctx context.Context, address string) bool {
	if !c.MayRelay(address) {
		return false
	}
	conn, err := c.DialRelayed(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
