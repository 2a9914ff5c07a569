package standin

import (
	"io"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// A host writes and closes its connection while it is silent. The other end gets the data, and then
// the end of the connection, once the silence is over.
func TestDataArriveBeforeTheEndOfAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		defer network.Close()
		listener, err := network.Host("a").Listen("80")
		must.NoError(t, err)
		go func() {
			conn, err := listener.Accept()
			must.NoError(t, err)
			network.Silence("a", time.Second)
			_, err = conn.Write([]byte("last words"))
			must.NoError(t, err)
			must.NoError(t, conn.Close())
		}()
		conn, err := network.Host("b").Dial(t.Context(), "tcp", "a:80")
		must.NoError(t, err)
		began := time.Now()
		read, err := io.ReadAll(conn)
		must.NoError(t, err)
		must.Eq(t, "last words", string(read))
		must.Eq(t, time.Second, time.Since(began))
	})
}

// A process is killed and the next one runs on its host. What goes on of the killed one in the test's
// own process must reach nobody: its requests would count as the next one's.
func TestEndedProcessOpensNoConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := NewNetwork()
		listener, err := network.Host("runner").Listen("80")
		must.NoError(t, err)
		go func() {
			for {
				if _, err := listener.Accept(); err != nil {
					return
				}
			}
		}()
		killed := network.Host("h")
		_, err = killed.Dial(t.Context(), "tcp", "runner:80")
		must.NoError(t, err)
		killed.End()
		network.KillHost("h")
		network.Heal("h", "*")
		_, err = killed.Dial(t.Context(), "tcp", "runner:80")
		must.ErrorIs(t, err, syscall.ECONNREFUSED)
		_, err = network.Host("h").Dial(t.Context(), "tcp", "runner:80")
		must.NoError(t, err)
		_ = listener.Close()
		network.Close()
	})
}
