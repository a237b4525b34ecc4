package relay_test

import (
	"io"
	"strings"
	"testing"

	"github.com/rosemarypass/rosemarypass/internal/relay"
)

func TestPeekModel(t *testing.T) {
	cases := []struct{ name, answer, want string }{
		{"json", `{"id":"1","choices":[{"text":"{\"model\":\"no\"}"}],"model":"a@1"}`, "a@1"},
		{"event", "data: {\"model\":\"a@1\"}\n\ndata: [DONE]\n\n", "a@1"},
		{"event after a comment", ": hello\r\nevent: x\r\ndata:{\"model\":\"a@1\"}\r\n\r\n", "a@1"},
		{"nested only", `{"choices":[{"model":"a@1"}]}`, ""},
		{"no object", "data: [DONE]\n\n", ""},
		{"empty", "", ""},
	}
	for _, c := range cases {
		got, reader, err := relay.PeekModel(strings.NewReader(c.answer))
		if got != c.want || (err != nil) != (c.want == "") {
			t.Errorf("%s: got %q, %v", c.name, got, err)
			continue
		}
		if err == nil {
			if data, _ := io.ReadAll(reader); string(data) != c.answer {
				t.Errorf("%s: relayed %q", c.name, data)
			}
		}
	}
}

func FuzzPeekModel(f *testing.F) {
	f.Add(`{"id":"1","model":"a@1"}`)
	f.Add("data: {\"model\":\"a@1\"}\n\ndata: [DONE]\n\n")
	f.Add(": hello\r\nevent: x\r\ndata:{\"model\":")
	f.Fuzz(func(t *testing.T, answer string) {
		_, reader, err := relay.PeekModel(strings.NewReader(answer))
		if err != nil {
			return
		}
		if data, err := io.ReadAll(reader); err != nil || string(data) != answer {
			t.Errorf("response %q was relayed as %q, %v", answer, data, err)
		}
	})
}
