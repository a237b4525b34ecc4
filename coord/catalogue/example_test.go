package catalogue_test

import (
	"fmt"

	"github.com/rosemarypass/rosemarypass/coord/catalogue"
)

// A version is immutable: adding it again with different weights has no effect.
func ExampleTable() {
	ref, err := catalogue.ParseRef("quote-draft@7")
	fmt.Println(err)
	table := catalogue.NewTable()
	table.Put(catalogue.Adapter{Ref: ref, BaseModel: "floor-base", Source: "store://quote-draft@7"})
	table.Put(catalogue.Adapter{Ref: ref, BaseModel: "floor-base", Source: "store://other"})
	adapter, found := table.Get(ref)
	fmt.Println(found, adapter.Source)
	// Output:
	// <nil>
	// true store://quote-draft@7
}
