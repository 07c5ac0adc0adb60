//go:build review

package main

import (
	"errors"
	"math/rand/v2"
	"time"
)

func init() { cases["map"] = playMap }

// The platform starts a process that was killed again after a short delay.
const (
	minRestartDelay = 100 * time.Millisecond
	maxRestartDelay = 300 * time.Millisecond
)

// playMap lets demand for experts shift. The processes beside two of twelve ranks, one of
// them that which gives orders, are killed as it gives one, and start again.
func playMap(s *system, trouble bool) (bool, error) {
	seed := rand.Uint64()
	s.rec.log("seed %d", seed)
	f, err := startFleet(s, 12, seed)
	defer f.stop()
	if err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	if f.changes() == 0 {
		return false, errors.New("no map was changed at the start")
	}
	struck := make(chan struct{}, 1)
	for end := time.Now().Add(75 * time.Second); time.Now().Before(end) && f.brokenBy() == ""; {
		f.shiftDemand()
		if trouble {
			f.strikeOnArm(func() { struck <- struct{}{} })
			select {
			case <-struck:
			case <-time.After(10 * time.Second):
				return false, errors.New("no map was changed")
			}
			if err := f.killProcesses(f.killed()); err != nil {
				return false, err
			}
		}
		time.Sleep(3 * time.Second)
	}
	s.rec.log("%d changes of the map; %s", f.changes(), f.brokenBy())
	return f.brokenBy() != "", nil
}

// killed draws the processes to kill, that of the leader and one of eleven others, and the
// delay after which each is started again.
func (f *fleet) killed() map[int]time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	delay := func() time.Duration {
		return minRestartDelay + time.Duration(f.random.Int64N(int64(maxRestartDelay-minRestartDelay)))
	}
	return map[int]time.Duration{0: delay(), 1 + f.random.IntN(len(f.ranks)-1): delay()}
}
