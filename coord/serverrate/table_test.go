package serverrate

import (
	"math/rand/v2"
	"testing"
	"time"
)

var (
	life  = Life{ID: "i-1", Born: 5}
	start = time.Unix(1000, 0)
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// Guards against an answer that was overtaken and ends a rate that the server has named since.
func TestOvertakenAnswerLiftsNothing(t *testing.T) {
	table := NewTable()
	if got := table.AnswerWith(life, 2, at(100)); got != Named {
		t.Fatalf("the first answer with a rate: %v", got)
	}
	if got := table.AnswerWithout(life, at(90), at(300)); got != Unchanged {
		t.Errorf("an answer to a request from before the naming: %v", got)
	}
	if _, named := table.Rate(life); !named {
		t.Error("the rate is lifted")
	}
	if got := table.AnswerWithout(life, at(110), at(320)); got != Lifted {
		t.Errorf("an answer to a later request: %v", got)
	}
}

// Guards against a word of another entry that is older than what is known and brings a rate back.
func TestOldNamingIsNotBroughtBack(t *testing.T) {
	table := NewTable()
	table.AnswerWith(life, 2, at(100))
	table.AnswerWithout(life, at(500), at(520))
	if got := table.Apply(Naming{Life: life, Rate: 2, AgeMillis: 900}, false, at(1000)); got != Unchanged {
		t.Errorf("a naming of before the lifting: %v", got)
	}
	if got := table.Apply(Naming{Life: life, Rate: 2, AgeMillis: 100}, false, at(1000)); got != Named {
		t.Errorf("a naming of after the lifting: %v", got)
	}
}

// Guards against a lifting that is told while answers with the rate have just come here.
func TestToldLiftingYieldsToLaterAnswers(t *testing.T) {
	other, own := NewTable(), NewTable()
	other.AnswerWith(life, 2, at(0))
	own.AnswerWith(life, 2, at(900))
	other.AnswerWithout(life, at(1000), at(1010))
	told := other.Since(0, true, at(1010))
	if len(told) != 1 || !told[0].Lifted {
		t.Fatalf("told: %+v", told)
	}
	if got := own.Apply(told[0], false, at(1020)); got != Unchanged {
		t.Errorf("told within the margin: %v", got)
	}
	before := other.Change()
	if other.AnswerWithout(life, at(1600), at(1610)); other.Change() == before {
		t.Fatal("later evidence is not told")
	}
	if got := own.Apply(other.Since(before, true, at(1610))[0], false, at(1620)); got != Lifted {
		t.Errorf("told with later evidence: %v", got)
	}
}

// Guards against a server's next incarnation that is held to the rate of the one before.
func TestNextLifeNamesNoRate(t *testing.T) {
	table := NewTable()
	table.AnswerWith(life, 2, at(0))
	if _, named := table.Rate(Life{ID: life.ID, Born: 6}); named {
		t.Error("the next life has a rate")
	}
	version := table.Version()
	table.Forget(func(l Life) bool { return l.Born == 6 })
	if len(table.InForce()) > 0 || table.Version() == version {
		t.Error("the rate of a life that is gone stands")
	}
}

// Guards against a server whose rate changes with each answer, and a message for each of them.
func TestChangingRateIsToldSeldom(t *testing.T) {
	table := NewTable()
	for i := range 1000 {
		table.AnswerWith(life, float64(1+i%7), at(i*5))
	}
	if n := table.Change(); n > 11 {
		t.Errorf("%d tellings in 5 s", n)
	}
	if rate, _ := table.Rate(life); rate != float64(1+999%7) {
		t.Errorf("the rate is %v, want the last one", rate)
	}
}

// Guards against entries that disagree for good about a rate that all have been told of, in any order, twice and late.
func TestEntriesAgreeOnceAnswersStop(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 7))
		tables := []*Table{NewTable(), NewTable(), NewTable()}
		acked := make([][]uint64, len(tables))
		for i := range acked {
			acked[i] = make([]uint64, len(tables))
		}
		rate, named := 0.0, false
		exchange := func(now int) {
			for from, table := range tables {
				for to, other := range tables {
					if from == to || random.IntN(3) == 0 && now < 20_000 {
						continue
					}
					for _, n := range table.Since(acked[from][to], false, at(now)) {
						other.Apply(n, false, at(now+random.IntN(20)))
					}
					if random.IntN(4) > 0 {
						acked[from][to] = table.Change()
					}
				}
			}
		}
		now := 0
		for ; now < 20_000; now += 50 {
			if random.IntN(60) == 0 {
				named, rate = random.IntN(2) == 0, float64(1+random.IntN(3))
			}
			table := tables[random.IntN(len(tables))]
			if named {
				table.AnswerWith(life, rate, at(now))
			} else {
				table.AnswerWithout(life, at(now-random.IntN(40)), at(now))
			}
			exchange(now)
		}
		// Answers to all entries go on for a while, in one state.
		for range 120 {
			for _, table := range tables {
				if named {
					table.AnswerWith(life, rate, at(now))
				} else {
					table.AnswerWithout(life, at(now-5), at(now))
				}
			}
			exchange(now)
			now += 50
		}
		for i, table := range tables {
			if got, is := table.Rate(life); is != named || named && got != rate {
				t.Errorf("seed %d: entry %d has %v, %v; the server %v, %v", seed, i, got, is, rate, named)
			}
		}
	}
}
