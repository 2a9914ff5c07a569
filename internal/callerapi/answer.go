package callerapi

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/cherrystage/cherrystage/internal/answer"
	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// completeStream forwards an answer as server-sent events. The status is sent with the
// first piece, so that an earlier refusal can have its own status. The verdict is sent as
// a trailer, and if the answer breaks off also in an event.
func (a *API) completeStream(c echo.Context, req dispatch.Request) error {
	w := writerOf(c)
	started := false
	var line []byte
	refusal := a.dispatcher.Complete(c.Request().Context(), req, func(piece engine.Piece) error {
		if !started {
			started = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Trailer", HeaderVerdict)
			w.WriteHeader(http.StatusOK)
		}
		line = appendEvent(line[:0], piece)
		if _, err := w.Write(line); err != nil {
			return err
		}
		return w.FlushError()
	})
	if !started {
		if refusal == nil {
			refusal = emptyAnswer()
		}
		return refusal
	}
	if refusal != nil {
		return endBrokenStream(w, refusal)
	}
	w.Header().Set(HeaderVerdict, verdict.Ran.String())
	return writeLast(w, "data: [DONE]\n\n")
}

// writeLast writes the last event of a stream, which makes it whole.
func writeLast(w *answer.Writer, event string) error {
	if _, err := w.Write([]byte(event)); err != nil {
		return err
	}
	w.Complete()
	return nil
}

// emptyAnswer refuses an answer without a piece, which a caller would take for a success.
func emptyAnswer() *dispatch.Refusal {
	return &dispatch.Refusal{Status: http.StatusBadGateway, Code: engine.CodeMalformed, Message: "empty answer", Verdict: verdict.Ran}
}

// writerOf returns the writer of a request's answer, which Handler sets.
func writerOf(c echo.Context) *answer.Writer { return c.Response().Writer.(*answer.Writer) }

// writeJSON writes a whole answer.
func writeJSON(c echo.Context, status int, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode answer")
	}
	c.Response().Header().Set("Content-Type", "application/json")
	return writerOf(c).WriteWhole(status, append(text, '\n'))
}

func appendEvent(line []byte, piece engine.Piece) []byte {
	line = append(line, "id: "...)
	line = strconv.AppendInt(line, int64(piece.Position), 10)
	line = append(line, "\ndata: "...)
	line = append(line, piece.Data...)
	return append(line, "\n\n"...)
}

// endBrokenStream ends an incomplete stream with an event that gives the reason, and
// without the [DONE] marker.
func endBrokenStream(w *answer.Writer, refusal *dispatch.Refusal) error {
	w.Header().Set(HeaderVerdict, refusal.Verdict.String())
	text, err := json.Marshal(errorBody{Code: refusal.Code, Message: refusal.Message, Verdict: refusal.Verdict})
	if err != nil {
		return errors.Wrap(err, "encode refusal")
	}
	return writeLast(w, "event: error\ndata: "+string(text)+"\n\n")
}

// completionChunk holds the fields of an engine's piece that are needed to assemble the
// whole answer.
type completionChunk struct {
	ID      string          `json:"id"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Usage   json.RawMessage `json:"usage"`
	Choices []struct {
		Index        int     `json:"index"`
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
		Delta        struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created,omitempty"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   json.RawMessage    `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// assembler assembles an answer from its pieces.
type assembler struct {
	pieces  int
	last    completionChunk
	texts   map[int]*strings.Builder
	reasons map[int]*string
}

func (a *assembler) reset() {
	*a = assembler{texts: map[int]*strings.Builder{}, reasons: map[int]*string{}}
}

func (a *assembler) add(piece engine.Piece) error {
	var chunk completionChunk
	if err := json.Unmarshal(piece.Data, &chunk); err != nil {
		return errors.Wrap(err, "piece of an answer")
	}
	a.pieces++
	usage := a.last.Usage
	a.last = chunk
	if chunk.Usage == nil {
		a.last.Usage = usage
	}
	for _, choice := range chunk.Choices {
		text := a.texts[choice.Index]
		if text == nil {
			text = &strings.Builder{}
			a.texts[choice.Index] = text
		}
		text.WriteString(choice.Text + choice.Delta.Content)
		if choice.FinishReason != nil {
			a.reasons[choice.Index] = choice.FinishReason
		}
	}
	return nil
}

func (a *assembler) build(chat bool) completion {
	whole := completion{ID: a.last.ID, Object: "text_completion", Created: a.last.Created, Model: a.last.Model, Usage: a.last.Usage}
	if chat {
		whole.Object = "chat.completion"
	}
	for index, builder := range a.texts {
		text := builder.String()
		choice := completionChoice{Index: index, FinishReason: a.reasons[index]}
		if chat {
			choice.Message = &message{Role: "assistant", Content: text}
		} else {
			choice.Text = &text
		}
		whole.Choices = append(whole.Choices, choice)
	}
	sort.Slice(whole.Choices, func(i, j int) bool { return whole.Choices[i].Index < whole.Choices[j].Index })
	return whole
}

// completeWhole waits for the whole answer and sends it as one JSON document.
func (a *API) completeWhole(c echo.Context, req dispatch.Request) error {
	asm := &assembler{}
	asm.reset()
	req.DiscardPieces = asm.reset
	if refusal := a.dispatcher.Complete(c.Request().Context(), req, asm.add); refusal != nil {
		return refusal
	}
	if asm.pieces == 0 {
		return emptyAnswer()
	}
	c.Response().Header().Set(HeaderVerdict, verdict.Ran.String())
	return writeJSON(c, http.StatusOK, asm.build(strings.Contains(req.Path, "/chat/")))
}
