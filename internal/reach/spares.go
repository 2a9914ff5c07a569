package reach

import (
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// spareTimeout is shorter than the runners' own idle timeout, as that of the idle connections
	// between requests.
	spareTimeout = 4 * time.Second
	// maxSparesPerRunner bounds the spares because a new connection may hold a slot at its runner.
	maxSparesPerRunner = 8
)

// spares holds open connections to runners on which nothing has been sent yet, by the runners'
// addresses. It closes those that time out or that their runner ends. It is safe for concurrent use.
type spares struct {
	mu        sync.Mutex
	byAddress map[string][]*spare
}

// spare is a connection whose end is watched by a pending read.
type spare struct {
	conn     net.Conn
	openedAt time.Time
	// readEnded receives the error of the pending read, nil if the runner sent something.
	readEnded chan error
}

func newSpares() *spares { return &spares{byAddress: map[string][]*spare{}} }

// keep takes over a connection that was just opened, and closes it if there are enough.
func (s *spares) keep(address string, conn net.Conn) {
	kept := &spare{conn: conn, openedAt: time.Now(), readEnded: make(chan error, 1)}
	if conn.SetReadDeadline(kept.openedAt.Add(spareTimeout)) != nil || !s.add(address, kept) {
		_ = conn.Close()
		return
	}
	go s.watch(address, kept)
}

func (s *spares) add(address string, added *spare) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byAddress[address]) >= maxSparesPerRunner {
		return false
	}
	s.byAddress[address] = append(s.byAddress[address], added)
	return true
}

// watch closes a spare that has timed out or was ended by its runner before it was taken.
func (s *spares) watch(address string, watched *spare) {
	_, err := watched.conn.Read(make([]byte, 1))
	watched.readEnded <- err
	if s.remove(address, watched) {
		_ = watched.conn.Close()
	}
}

// remove reports whether the spare was still there.
func (s *spares) remove(address string, removed *spare) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.byAddress[address], removed)
	if i < 0 {
		return false
	}
	s.set(address, slices.Delete(s.byAddress[address], i, i+1))
	return true
}

// set replaces a runner's spares. The caller holds s.mu.
func (s *spares) set(address string, left []*spare) {
	if len(left) == 0 {
		delete(s.byAddress, address)
		return
	}
	s.byAddress[address] = left
}

// take returns a usable connection to a runner, nil if there is none.
func (s *spares) take(address string) net.Conn {
	for {
		taken := s.pop(address)
		if taken == nil {
			return nil
		}
		if taken.release() {
			return taken.conn
		}
		_ = taken.conn.Close()
	}
}

// pop removes and returns the newest spare of a runner, nil if there is none.
func (s *spares) pop(address string) *spare {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.byAddress[address]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	s.set(address, slices.Delete(kept, len(kept)-1, len(kept)))
	return last
}

// release ends the pending read and reports whether the connection can be used. The age is checked
// besides the deadline: a process that stood still may take a spare before its read has timed out.
func (s *spare) release() bool {
	if time.Since(s.openedAt) >= spareTimeout {
		return false
	}
	if s.conn.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	if !errors.Is(<-s.readEnded, os.ErrDeadlineExceeded) {
		return false
	}
	return s.conn.SetReadDeadline(time.Time{}) == nil
}
