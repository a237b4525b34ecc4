package state_test

import (
	"fmt"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
	"github.com/rosemarypass/rosemarypass/coord/state"
)

// Instances that apply the same commands at the same indexes have the same
// state; a retried command returns its first result.
func Example() {
	machine := state.NewMachine()
	command := state.Command{OperationID: "op-1", PutModel: &catalogue.Model{Name: "floor-base"}}
	first, change := machine.Apply(1, command)
	fmt.Println(first.Code, first.Index, change.Model.Name)

	again, change := machine.Apply(2, command)
	fmt.Println(again.Code, again.Index, change == nil)

	data, err := machine.Encode()
	fmt.Println(err)
	restored, err := state.Decode(data)
	fmt.Println(err, restored.Index(), restored.ConfigIndex())
	// Output:
	// ok 1 floor-base
	// ok 1 true
	// <nil>
	// <nil> 2 1
}
