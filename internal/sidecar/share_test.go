package sidecar

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rosemarypass/rosemarypass/internal/wire"
)

// Guards against an agent whose queue one team has filled and that refuses whoever comes next, and against entries that
// refuse a request of a team within its share for a queue that it does not wait behind.
func TestFullQueueGivesWayByShareAndRank(t *testing.T) {
	e := newFakeEngine(t)
	runAgent(t, e, func(t *testing.T, s *Sidecar) {
		if reply := admit(t, s, "first", ""); !reply.Start {
			t.Fatalf("refused: %s", reply.Reason)
		}
		type result struct {
			id    string
			reply wire.StartReply
		}
		results := make(chan result, 64)
		request := func(id, team string, share, rank int) {
			go func() {
				reply, _ := s.admit(t.Context(), wire.StartRequest{ID: id, Team: team, Share: share, Rank: rank, Prompt: 10, Tokens: 20, TargetMillis: 60_000, WaitMillis: 60_000})
				results <- result{id, reply}
			}()
			synctest.Wait()
		}
		// Three more places of the batch, and the queue of 32.
		for i := range 3 + 4*queuePerBatch {
			request(fmt.Sprint("hot-", i), "hot", 700, 1)
		}
		for range 3 {
			if r := <-results; !r.reply.Start {
				t.Fatalf("%s was refused: %s", r.id, r.reply.Reason)
			}
		}
		time.Sleep(100 * time.Millisecond)
		state, _ := s.state.get(0)
		if len(state.WithinShareMillis) == 0 || state.Waiting != 4*queuePerBatch {
			t.Errorf("%d wait, delays %v and %v within the share; want %d and a delay of their own", state.Waiting, state.DelayMillis, state.WithinShareMillis, 4*queuePerBatch)
		}
		byShare, byRank := gaveWayShareCount.Value(), gaveWayRankCount.Value()
		request("calm", "calm", 60, 1)
		if r := <-results; r.id != fmt.Sprint("hot-", 2+4*queuePerBatch) || r.reply.Reason != "gave_way" || r.reply.Declined {
			t.Errorf("%s got %+v, want the newest of the team above its share to give way", r.id, r.reply)
		}
		request("urgent", "hot", 700, 0)
		if r := <-results; r.id != fmt.Sprint("hot-", 1+4*queuePerBatch) || r.reply.Reason != "gave_way" {
			t.Errorf("%s got %+v, want the next one to give way", r.id, r.reply)
		}
		request("more", "hot", 700, 1)
		if r := <-results; r.id != "more" || r.reply.Reason != "queue_full" {
			t.Errorf("%s got %+v, want the new one of the team above its share refused", r.id, r.reply)
		}
		if gaveWayShareCount.Value() != byShare+1 || gaveWayRankCount.Value() != byRank+1 {
			t.Errorf("counted %d by share and %d by rank, want one each", gaveWayShareCount.Value()-byShare, gaveWayRankCount.Value()-byRank)
		}
		for i, want := range []string{"urgent", "calm"} {
			if _, err := s.done(t.Context(), wire.StartDone{ID: []string{"first", "hot-0"}[i]}); err != nil {
				t.Fatal(err)
			}
			if r := <-results; r.id != want || !r.reply.Start {
				t.Errorf("%s got %+v at a free place, want %s to start", r.id, r.reply, want)
			}
		}
	})
}
