package upstream

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
)

// innerAnswer is an answer that a server in trouble puts into the body of another one.
const innerAnswer = "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: abc\r\nContent-Length: 5\r\n\r\ninner"

// Guards against a caller that gets what stands in the body of an answer whose status is none, and against one that waits until its deadline behind such an answer.
func TestAnswerWithoutFinalStatusIsInvalid(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101"} {
		for name, rest := range map[string]string{
			"length":        fmt.Sprintf("Id: r1\r\nContent-Length: %d\r\n\r\n%s", len(innerAnswer), innerAnswer),
			"no length":     "Id: r1\r\n\r\n" + innerAnswer,
			"closes":        "Id: r1\r\nConnection: close\r\n\r\n" + innerAnswer,
			"chunks":        fmt.Sprintf("Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(innerAnswer), innerAnswer),
			"another body":  "Id: r1\r\nContent-Length: 2\r\n\r\nok",
			"no body":       "Id: r1\r\nContent-Length: 0\r\n\r\n",
			"header alone":  "Id: r1\r\n\r\n",
			"another's one": fmt.Sprintf("Id: r0\r\nContent-Length: %d\r\n\r\n%s", len(innerAnswer), innerAnswer),
		} {
			checkInvalid(t, status+" "+name, "HTTP/1.1 "+status+" X\r\n"+rest)
		}
	}
	// Of a true interim response these are no part.
	for _, status := range []string{"100", "102", "103", "199"} {
		checkInvalid(t, status+" length", fmt.Sprintf("HTTP/1.1 %s X\r\nId: r1\r\nContent-Length: %d\r\n\r\n%s", status, len(innerAnswer), innerAnswer))
		checkInvalid(t, status+" chunks", fmt.Sprintf("HTTP/1.1 %s X\r\nTransfer-Encoding: chunked\r\n\r\n%s", status, innerAnswer))
		checkInvalid(t, status+" closes", fmt.Sprintf("HTTP/1.1 %s X\r\nConnection: close\r\n\r\n%s", status, innerAnswer))
		checkInvalid(t, status+" of HTTP/1.0", fmt.Sprintf("HTTP/1.0 %s X\r\n\r\n%s", status, innerAnswer))
	}
}

func checkInvalid(t *testing.T, name, text string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		target, _ := startServer(t, text)
		pool := NewPool(testTimeout, NewMemory(0))
		status, body, err := call(t, pool, target, "r1")
		if !errors.Is(err, ErrInvalidResponse) || !Sent(err) {
			t.Errorf("got status %d with body %q, error %v", status, body, err)
		}
		if n := pool.Idle(target); n != 0 {
			t.Errorf("%d connections are kept", n)
		}
	})
}

// Guards against a final answer that is refused because interim responses come before it.
func TestAnswerBehindInterimResponsesIsTaken(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		target, _ := startServer(t, "HTTP/1.1 "+status+" X\r\nLink: x\r\n\r\n"+innerAnswer)
		if status, body, err := call(t, NewPool(testTimeout, NewMemory(0)), target, "r1"); err != nil || status != 200 || body != "inner" {
			t.Errorf("got status %d with body %q, error %v", status, body, err)
		}
	}
}
