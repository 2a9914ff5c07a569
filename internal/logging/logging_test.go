package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// stuck is an output that nobody reads.
type stuck struct{ free chan struct{} }

func (s stuck) Write(line []byte) (int, error) {
	<-s.free
	return len(line), nil
}

// Whoever reads the log has stopped. Requests must go on: a line is dropped and
// counted, and no writer waits.
func TestWriterNeverBlocks(t *testing.T) {
	free := make(chan struct{})
	w := NewWriter(stuck{free})
	begin := time.Now()
	for range 3 * queueLines {
		_, err := w.Write([]byte("line\n"))
		must.NoError(t, err)
	}
	must.Less(t, time.Second, time.Since(begin))
	must.Greater(t, queueLines, int(w.Dropped()))
	close(free)
}

// lines is an output that keeps what it gets.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// A flood of lines goes beyond the rate. The rest is dropped, and the next
// second's first line tells how many.
func TestWriterTellsWhatItDropped(t *testing.T) {
	out := &lines{}
	w := NewWriter(out)
	for range linesPerSecond + 100 {
		_, _ = w.Write([]byte("line\n"))
	}
	time.Sleep(dropNotice + 50*time.Millisecond)
	_, _ = w.Write([]byte("after\n"))
	w.Close(time.Second)
	text := out.text.String()
	must.Eq(t, linesPerSecond, strings.Count(text, "line\n"))
	must.StrContains(t, text, `"lines":100`)
	must.StrContains(t, text, "after\n")
}
