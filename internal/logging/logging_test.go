package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// blockedWriter is an output that blocks until it is unblocked.
type blockedWriter struct{ unblock chan struct{} }

func (s blockedWriter) Write(line []byte) (int, error) {
	<-s.unblock
	return len(line), nil
}

// An output that blocks must not block writers: lines are dropped and counted.
func TestWriterNeverBlocks(t *testing.T) {
	unblock := make(chan struct{})
	w := NewWriter(blockedWriter{unblock})
	begin := time.Now()
	for range 3 * queueCapacity {
		_, err := w.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.Less(t, time.Second, time.Since(begin))
	must.Greater(t, queueCapacity, int(w.Dropped()))
	close(unblock)
}

// lockedBuffer is an output that stores what it receives.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lockedBuffer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// Lines beyond the rate are dropped, and the first line of the next second reports how many.
func TestWriterReportsDroppedLines(t *testing.T) {
	out := &lockedBuffer{}
	w := NewWriter(out)
	for range maxLinesPerSecond + 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	time.Sleep(rateInterval + 50*time.Millisecond)
	_, _ = w.Write([]byte("after\n"))
	w.Close(time.Second)
	text := out.text.String()
	must.Eq(t, maxLinesPerSecond, strings.Count(text, "line\n"))
	must.StrContains(t, text, `"lines":100`)
	must.StrContains(t, text, "after\n")
}
