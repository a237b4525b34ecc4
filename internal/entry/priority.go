package entry

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// withPriority returns the body of a completion with its priority set to that of
// the contract. A caller that chose its own priority could run ahead of other
// customers in the engines' queues. Engines serve the lowest number first, as vLLM
// does, and some refuse the field if they do not schedule by priority; therefore it
// is omitted for priority 0.
func withPriority(body []byte, caller callerBody, priority int) ([]byte, error) {
	if priority == 0 && caller.Priority == nil {
		return body, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, errors.Wrap(err, "body")
	}
	delete(fields, priorityField)
	if priority != 0 {
		value, err := json.Marshal(-priority)
		if err != nil {
			return nil, errors.Wrap(err, "priority")
		}
		fields[priorityField] = value
	}
	rewritten, err := json.Marshal(fields)
	return rewritten, errors.Wrap(err, "body")
}

const priorityField = "priority"
