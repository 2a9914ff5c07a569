package callerapi

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"

	"github.com/cherrystage/cherrystage/internal/dispatch"
	"github.com/cherrystage/cherrystage/internal/engine"
	"github.com/cherrystage/cherrystage/internal/verdict"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// stream passes an answer on as server-sent events. The status is sent with
// the first piece, so that a refusal before it has a status of its own. The
// verdict comes as a trailer, and after a broken answer as an event too.
func (a *API) stream(c echo.Context, req dispatch.Request) error {
	w := c.Response()
	begun := false
	var line []byte
	refusal := a.dispatcher.Complete(c.Request().Context(), req, func(piece engine.Piece) error {
		if !begun {
			begun = true
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Trailer", HeaderVerdict)
			w.WriteHeader(http.StatusOK)
		}
		line = appendEvent(line[:0], piece)
		if _, err := w.Write(line); err != nil {
			return err
		}
		return http.NewResponseController(w.Writer).Flush()
	})
	if !begun {
		if refusal == nil {
			refusal = &dispatch.Refusal{Status: http.StatusBadGateway, Code: engine.CodeMalformed, Message: "empty answer", Verdict: verdict.Ran}
		}
		return refusal
	}
	if refusal != nil {
		return breakStream(w, refusal)
	}
	w.Header().Set(HeaderVerdict, verdict.Ran.String())
	_, err := w.Write([]byte("data: [DONE]\n\n"))
	return err
}

func appendEvent(line []byte, piece engine.Piece) []byte {
	line = append(line, "id: "...)
	line = strconv.AppendInt(line, int64(piece.Position), 10)
	line = append(line, "\ndata: "...)
	line = append(line, piece.Data...)
	return append(line, "\n\n"...)
}

// breakStream ends a stream that did not come whole: without the closing mark,
// and with an event that says why.
func breakStream(w *echo.Response, refusal *dispatch.Refusal) error {
	w.Header().Set(HeaderVerdict, refusal.Verdict.String())
	text, err := json.Marshal(errorBody{Code: refusal.Code, Message: refusal.Message, Verdict: refusal.Verdict})
	if err != nil {
		return errors.Wrap(err, "encode refusal")
	}
	_, err = w.Write([]byte("event: error\ndata: " + string(text) + "\n\n"))
	return err
}

// piece is what is read of an engine's piece to make a whole answer.
type piece struct {
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

type wholeAnswer struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created,omitempty"`
	Model   string          `json:"model"`
	Choices []wholeChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

type wholeChoice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// gather puts the pieces of an answer together.
type gather struct {
	last    piece
	texts   map[int]*strings.Builder
	reasons map[int]*string
}

func (g *gather) reset() {
	*g = gather{texts: map[int]*strings.Builder{}, reasons: map[int]*string{}}
}

func (g *gather) add(raw engine.Piece) error {
	var p piece
	if err := json.Unmarshal(raw.Data, &p); err != nil {
		return errors.Wrap(err, "piece of an answer")
	}
	usage := g.last.Usage
	g.last = p
	if p.Usage == nil {
		g.last.Usage = usage
	}
	for _, choice := range p.Choices {
		text := g.texts[choice.Index]
		if text == nil {
			text = &strings.Builder{}
			g.texts[choice.Index] = text
		}
		text.WriteString(choice.Text + choice.Delta.Content)
		if choice.FinishReason != nil {
			g.reasons[choice.Index] = choice.FinishReason
		}
	}
	return nil
}

func (g *gather) answer(chat bool) wholeAnswer {
	answer := wholeAnswer{ID: g.last.ID, Object: "text_completion", Created: g.last.Created, Model: g.last.Model, Usage: g.last.Usage}
	if chat {
		answer.Object = "chat.completion"
	}
	for index, builder := range g.texts {
		text := builder.String()
		choice := wholeChoice{Index: index, FinishReason: g.reasons[index]}
		if chat {
			choice.Message = &message{Role: "assistant", Content: text}
		} else {
			choice.Text = &text
		}
		answer.Choices = append(answer.Choices, choice)
	}
	sort.Slice(answer.Choices, func(i, j int) bool { return answer.Choices[i].Index < answer.Choices[j].Index })
	return answer
}

// whole waits for the whole answer and sends it as one JSON document.
func (a *API) whole(c echo.Context, req dispatch.Request) error {
	g := &gather{}
	g.reset()
	req.DiscardPieces = g.reset
	if refusal := a.dispatcher.Complete(c.Request().Context(), req, g.add); refusal != nil {
		return refusal
	}
	c.Response().Header().Set(HeaderVerdict, verdict.Ran.String())
	return c.JSON(http.StatusOK, g.answer(strings.Contains(req.Path, "/chat/")))
}
