package answer

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// An answer that no runner gave is taken for a success.
func TestOwnAnswerIsNoSuccess(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNoContent, 0} {
		recorder := httptest.NewRecorder()
		w := NewWriter(recorder)
		must.NoError(t, w.WriteOwn(status, "what happened"))
		must.Eq(t, http.StatusInternalServerError, recorder.Code)
		must.Eq(t, "what happened\n", recorder.Body.String())
		must.Eq(t, Whole, w.End())
	}
}

// Content without a status is completed as a success by net/http.
func TestContentWithoutAStatusIsNotWritten(t *testing.T) {
	recorder := httptest.NewRecorder()
	w := NewWriter(recorder)
	_, err := w.Write([]byte("content"))
	must.ErrorIs(t, err, ErrNoStatus)
	must.ErrorIs(t, http.NewResponseController(w).Flush(), ErrNoStatus)
	must.Eq(t, Missing, w.End())
	must.Eq(t, http.StatusInternalServerError, recorder.Code)
}

// An answer that breaks off is completed as a whole one by net/http.
func TestAnswerIsWholeOnlyOnceThatWasSaid(t *testing.T) {
	recorder := httptest.NewRecorder()
	w := NewWriter(recorder)
	w.WriteHeader(http.StatusOK)
	_, err := w.Write([]byte("data: 1\n\n"))
	must.NoError(t, err)
	must.Eq(t, Cut, w.End())

	w = NewWriter(httptest.NewRecorder())
	w.WriteHeader(http.StatusOK)
	w.Complete()
	must.Eq(t, Whole, w.End())
}

// A path that says that an answer is whole, and has written none, gives an empty success.
func TestCompleteWithoutAnAnswerIsMissing(t *testing.T) {
	recorder := httptest.NewRecorder()
	w := NewWriter(recorder)
	w.Complete()
	must.Eq(t, Missing, w.End())
	must.Eq(t, http.StatusInternalServerError, recorder.Code)
}

// A caller that has left is not answered, and no later write makes it look answered.
func TestNothingIsWrittenForACallerThatLeft(t *testing.T) {
	recorder := httptest.NewRecorder()
	w := NewWriter(recorder)
	w.CallerLeft()
	must.Eq(t, Left, w.End())
	w.WriteHeader(http.StatusOK)
	_, err := w.Write([]byte("late"))
	must.Error(t, err)
	must.False(t, w.Interim())
	must.Eq(t, "", recorder.Body.String())
	must.False(t, w.Begun())
}

// interimRecorder records the statuses that are written, and the header of the first one.
type interimRecorder struct {
	http.ResponseWriter
	statuses []int
	first    http.Header
}

func (r *interimRecorder) WriteHeader(status int) {
	if r.first == nil {
		r.first = r.Header().Clone()
	}
	r.statuses = append(r.statuses, status)
}

// An interim answer carries the final one's header, or comes behind it.
func TestInterimAnswersComeBeforeTheAnswerAndWithoutItsHeader(t *testing.T) {
	recorder := &interimRecorder{ResponseWriter: httptest.NewRecorder()}
	w := NewWriter(recorder)
	w.Header().Set("Connection", "close")
	must.True(t, w.Interim())
	must.NoError(t, w.WriteWhole(http.StatusOK, []byte("answer")))
	must.False(t, w.Interim())
	must.Eq(t, []int{http.StatusContinue, http.StatusOK}, recorder.statuses)
	must.MapEmpty(t, recorder.first)
}

// An answer of the host's own is appended to a runner's that has begun, which then passes for whole.
func TestOwnAnswerDoesNotCompleteOneThatHasBegun(t *testing.T) {
	recorder := httptest.NewRecorder()
	w := NewWriter(recorder)
	w.WriteHeader(http.StatusOK)
	_, err := w.Write([]byte("data: x\n\n"))
	must.NoError(t, err)
	must.ErrorIs(t, w.WriteOwn(http.StatusServiceUnavailable, "refused"), ErrBegun)
	must.Eq(t, "data: x\n\n", recorder.Body.String())
	must.Eq(t, Cut, w.End())
}

// The failure that stands for a missing answer bears headers of a runner's that was about to be written.
func TestMissingAnswerBearsNoHeaderOfARunner(t *testing.T) {
	recorder := httptest.NewRecorder()
	w := NewWriter(recorder)
	w.Header().Set("Stamp", "of a runner")
	w.MissingHeader = http.Header{"Verdict": {"may-have-run"}}
	must.Eq(t, Missing, w.End())
	must.Eq(t, "", recorder.Header().Get("Stamp"))
	must.Eq(t, "may-have-run", recorder.Header().Get("Verdict"))
}
