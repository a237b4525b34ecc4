package entry

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// withPriority returns a completion's body with the contract's priority in
// place of whatever the caller wrote: a caller that chose its own would run ahead
// of other customers in the engines' queues. Engines serve the lowest number
// first, as vLLM does, and some refuse the field when they do not schedule by
// priority; so it is left out for priority 0.
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
