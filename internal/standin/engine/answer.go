package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// answerWriter writes a completion, either as one JSON object or as server-sent
// events.
type answerWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      string
	q       completionRequest
	chat    bool
	text    strings.Builder
}

func newAnswerWriter(w http.ResponseWriter, r *http.Request, q completionRequest) *answerWriter {
	a := &answerWriter{
		w:       w,
		control: http.NewResponseController(w),
		id:      r.Header.Get(wire.HeaderRequestID),
		q:       q,
		chat:    strings.HasSuffix(r.URL.Path, "/chat/completions"),
	}
	if q.Stream {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
	} else {
		w.Header().Set("Content-Type", "application/json")
	}
	return a
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
	PromptTokens     int `json:"prompt_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (a *answerWriter) token(i int) {
	text := TokenText(a.q.Model, a.id, i)
	if !a.q.Stream {
		a.text.WriteString(text)
		return
	}
	c := choice{Text: &text}
	object := "text_completion"
	if a.chat {
		c = choice{Delta: &message{Role: "assistant", Content: text}}
		object = "chat.completion.chunk"
	}
	a.event(completion{ID: a.id, Object: object, Model: a.q.Model, Choices: []choice{c}})
}

func (a *answerWriter) event(body completion) {
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	fmt.Fprintf(a.w, "data: %s\n\n", data)
	_ = a.control.Flush()
}

func (a *answerWriter) finish() {
	if a.q.Stream {
		fmt.Fprint(a.w, "data: [DONE]\n\n")
		return
	}
	stop, text := "length", a.text.String()
	c := choice{Text: &text, FinishReason: &stop}
	object := "text_completion"
	if a.chat {
		c = choice{Message: &message{Role: "assistant", Content: text}, FinishReason: &stop}
		object = "chat.completion"
	}
	tokens := &usage{CompletionTokens: a.q.MaxTokens, PromptTokens: len(a.q.text()) / 4}
	tokens.TotalTokens = tokens.CompletionTokens + tokens.PromptTokens
	_ = json.NewEncoder(a.w).Encode(completion{ID: a.id, Object: object, Model: a.q.Model, Choices: []choice{c}, Usage: tokens})
}
