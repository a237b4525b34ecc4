package rpc

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sourcegraph/jsonrpc2"
)

// The benchmarks compare ways to carry a token stream from agent to entry:
// HTTP/1.1 chunks, HTTP/2 frames without TLS, and JSON-RPC notifications. Each
// iteration is one stream of streamTokens tokens, with streamsInParallel
// streams per processor.
const (
	streamTokens      = 128
	streamsInParallel = 8
)

const tokenEvent = `data: {"id":"f2f2792d","object":"text_completion","model":"costume-advice@1","choices":[{"index":0,"text":" word","finish_reason":null}]}` + "\n\n"

func BenchmarkCarrierHTTP1(b *testing.B) { benchmarkHTTP(b, new(http.Protocols), false) }

func BenchmarkCarrierHTTP2(b *testing.B) { benchmarkHTTP(b, new(http.Protocols), true) }

func benchmarkHTTP(b *testing.B, protocols *http.Protocols, useHTTP2 bool) {
	protocols.SetHTTP1(!useHTTP2)
	protocols.SetUnencryptedHTTP2(useHTTP2)
	listener := listen(b)
	server := &http.Server{Handler: http.HandlerFunc(writeTokens), Protocols: protocols}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	client := &http.Client{Transport: &http.Transport{Protocols: protocols, MaxIdleConnsPerHost: 1024}}
	url := "http://" + listener.Addr().String()
	runStreams(b, func() error { return readTokens(client, url) })
}

func writeTokens(w http.ResponseWriter, _ *http.Request) {
	controller := http.NewResponseController(w)
	for range streamTokens {
		_, _ = io.WriteString(w, tokenEvent)
		_ = controller.Flush()
	}
}

func readTokens(client *http.Client, url string) error {
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	n, err := io.Copy(io.Discard, response.Body)
	if err == nil && n != streamTokens*int64(len(tokenEvent)) {
		return fmt.Errorf("stream had %d bytes", n)
	}
	return err
}

type tokenMessage struct {
	Stream uint64 `json:"stream"`
	Data   string `json:"data"`
	Last   bool   `json:"last,omitempty"`
}

// BenchmarkCarrierJSONRPC multiplexes streams as notifications over one
// connection per processor.
func BenchmarkCarrierJSONRPC(b *testing.B) {
	listener := listen(b)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			jsonrpc2.NewConn(context.Background(), newStream(conn), jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(notifyTokens)))
		}
	}()
	b.Cleanup(func() { _ = listener.Close() })
	runStreams(b, newJSONRPCReader(b, listener.Addr().String()))
}

func notifyTokens(ctx context.Context, conn *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	var message tokenMessage
	if err := json.Unmarshal(*request.Params, &message); err != nil {
		return nil, err
	}
	for i := range streamTokens {
		message.Data, message.Last = tokenEvent, i == streamTokens-1
		if err := conn.Notify(ctx, "token", message); err != nil {
			return nil, err
		}
	}
	return true, nil
}

func newJSONRPCReader(b *testing.B, address string) func() error {
	raw, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	received := make(chan int, 1<<16)
	handler := jsonrpc2.HandlerWithError(func(_ context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
		var message tokenMessage
		if err := json.Unmarshal(*request.Params, &message); err != nil {
			return nil, err
		}
		received <- len(message.Data)
		return nil, nil
	})
	conn := jsonrpc2.NewConn(context.Background(), newStream(raw), handler)
	b.Cleanup(func() { _ = conn.Close() })
	go func() {
		for range received {
			continue
		}
	}()
	return func() error {
		var done bool
		return conn.Call(context.Background(), "stream", tokenMessage{Stream: 1}, &done)
	}
}

func listen(b *testing.B) net.Listener {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return listener
}

func runStreams(b *testing.B, stream func() error) {
	b.SetParallelism(streamsInParallel)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := stream(); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/streamTokens, "ns/token")
}
