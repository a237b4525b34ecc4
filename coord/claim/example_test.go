package claim_test

import (
	"fmt"
	"time"

	"github.com/rosemarypass/rosemarypass/coord/claim"
)

// A call that is retried while its first attempt may still be running is not
// run. Once the first attempt has finished, a retry gets its answer.
func Example() {
	clock := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table := claim.NewTable(claim.DefaultOptions)
	id := claim.ID{Contract: "cascade", Key: "order-17"}
	begin := func(token string) claim.Reply {
		attempt := &claim.Begin{Token: token, Fingerprint: []byte("digest of the call")}
		return table.Apply(claim.Command{ID: id, Begin: attempt}, clock)
	}
	fmt.Println(begin("first").Verdict)
	resent := begin("second")
	fmt.Println(resent.Verdict, resent.State)

	answer := claim.Answer{Status: 201, Kept: true, Body: []byte("booked")}
	table.Apply(claim.Command{ID: id, Finish: &claim.Finish{Token: "first", Answer: answer}}, clock)
	resent = begin("third")
	fmt.Println(resent.Verdict, resent.State, string(resent.Answer.Body))
	// Output:
	// granted
	// in-doubt started
	// replay finished booked
}
