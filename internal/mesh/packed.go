package mesh

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"github.com/rosemarypass/rosemarypass/coord/document"
)

// bodyPacker packs the body of the configuration once for all processes that pull it.
// A configuration with a thousand routes takes hundreds of kilobytes, and each entry
// passes it on to several processes over the link that also carries its callers'
// streams.
type bodyPacker struct {
	mu      sync.Mutex
	version uint64
	packed  []byte
}

const (
	// minPackedBody is the size in bytes from which a body or a proposal is packed: below
	// it, the packet that carries it is sent anyway.
	minPackedBody = 1 << 10
	// maxBody bounds the unpacked size of a body in bytes, so that a small message
	// cannot exhaust the memory.
	maxBody = 16 << 20
)

// pack returns the packed body of a state; nil for a body that is sent as it is.
func (p *bodyPacker) pack(state *document.State) []byte {
	if len(state.Body) < minPackedBody {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed == nil || p.version != state.Version {
		p.version, p.packed = state.Version, deflate(state.Body)
	}
	return p.packed
}

func deflate(body []byte) []byte {
	var buffer bytes.Buffer
	// The level is valid and a buffer takes everything, so there are no errors.
	writer, _ := flate.NewWriter(&buffer, flate.BestSpeed)
	_, _ = writer.Write(body)
	_ = writer.Close()
	return buffer.Bytes()
}

func inflate(packed []byte) (json.RawMessage, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxBody+1))
	if err != nil {
		return nil, errors.Wrap(err, "unpack a message")
	}
	if len(body) > maxBody {
		return nil, errors.Errorf("a message unpacks to more than %d bytes", maxBody)
	}
	return body, nil
}

// pullReplyTo returns the reply to a request for a newer state. It leaves out the body
// if the requester already has it.
func (m *Mesh) pullReplyTo(in pullRequest, state document.State) pullReply {
	reply := pullReply{Newer: state.Index > in.Index, State: state}
	if in.Holds && state.Version == in.Version {
		reply.State.Body = nil
		return reply
	}
	if in.Unpacks {
		if reply.Packed = m.packer.pack(&state); reply.Packed != nil {
			reply.State.Body = nil
		}
	}
	return reply
}

// applyReply puts the state of a reply in force if it is newer.
func (m *Mesh) applyReply(reply *pullReply, origin string) error {
	if !reply.Newer {
		return nil
	}
	state := reply.State
	if reply.Packed != nil {
		body, err := inflate(reply.Packed)
		if err != nil {
			return err
		}
		state.Body = body
	}
	m.applyPulled(state, origin)
	return nil
}
