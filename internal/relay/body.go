package relay

import "io"

// answerBody is the body of an answer. Closing it before its end gives the request
// up.
type answerBody struct {
	io.ReadCloser
	abandon, end func()
	ended        bool
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.ended = true
		b.end()
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if !b.ended {
		b.abandon()
	}
	err := b.ReadCloser.Close()
	b.end()
	return err
}
