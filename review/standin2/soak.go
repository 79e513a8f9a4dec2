//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["soak"] = soak }

// soak plays random faults beside gangs, recurring jobs and chains of steps.
func soak(w *world) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	rng := rand.New(rand.NewPCG(seed, 1))
	if err := w.deploy(5, 6); err != nil {
		return err
	}
	time.Sleep(time.Second)
	var ids []string
	upHost := func() *host {
		for range 50 {
			if h := w.hosts[rng.IntN(len(w.hosts))]; h.cmd.ProcessState == nil {
				return h
			}
		}
		return w.hosts[0]
	}
	send := func(n int) {
		id := fmt.Sprintf("%016x", 0xf000+n)
		step := func(extra map[string]any) map[string]any {
			m := map[string]any{"Count": 1 + rng.IntN(4), "Cpu": 1000 + rng.IntN(3000), "MemMb": 500, "EstimatedMs": 500 + rng.IntN(4000)}
			for k, v := range extra {
				m[k] = v
			}
			return m
		}
		var body map[string]any
		switch rng.IntN(4) {
		case 0:
			st := step(map[string]any{"Count": 2 + rng.IntN(3), "Gang": true, "Checkpointing": true, "AntiAffinity": 1})
			body = map[string]any{"Spec": fmt.Sprintf("work=%d;gang=%d;saves", st["EstimatedMs"], st["Count"]), "Steps": []any{st}}
		case 1:
			st := step(nil)
			body = map[string]any{
				"Spec": fmt.Sprintf("work=%d", st["EstimatedMs"]), "Steps": []any{st, step(map[string]any{"DependsOn": []int{0}})},
				"RepeatCount": 2 + rng.IntN(5), "IntervalMs": 500 + rng.IntN(3000), "FirstRunMs": time.Now().UnixMilli() + int64(rng.IntN(2000)),
			}
		case 2:
			st := step(nil)
			body = map[string]any{
				"Spec":  fmt.Sprintf("work=%d", st["EstimatedMs"]),
				"Steps": []any{st, step(map[string]any{"DependsOn": []int{0}}), step(map[string]any{"DependsOn": []int{0, 1}})},
			}
		default:
			body = map[string]any{"Spec": "work=700", "Steps": []any{step(map[string]any{"Speculative": true})}}
		}
		for range 8 {
			if status, _ := w.call(upHost(), http.MethodPost, batchPrefix+id, body, 3*time.Second); status/100 == 2 {
				ids = append(ids, id)
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	end := time.Now().Add(45 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		frng := rand.New(rand.NewPCG(seed, 2))
		for time.Now().Before(end.Add(-10 * time.Second)) {
			time.Sleep(time.Duration(300+frng.IntN(2500)) * time.Millisecond)
			h := w.hosts[frng.IntN(len(w.hosts))]
			if frng.IntN(2) == 0 {
				if l, err := w.leader(2 * time.Second); err == nil {
					h = l
				}
			}
			switch frng.IntN(7) {
			case 4, 5:
				w.rec.logf("store turns %s away", h.name)
				h.door.refuses.Store(true)
				time.Sleep(time.Duration(300+frng.IntN(4000)) * time.Millisecond)
				h.door.refuses.Store(false)
			case 6:
				w.rec.logf("store refuses all")
				for _, o := range w.hosts {
					o.door.refuses.Store(true)
				}
				time.Sleep(time.Duration(300+frng.IntN(4000)) * time.Millisecond)
				if frng.IntN(2) == 0 {
					w.signal(h, syscall.SIGKILL)
					_ = w.start(h)
				}
				for _, o := range w.hosts {
					o.door.refuses.Store(false)
				}
			case 0:
				w.signal(h, syscall.SIGKILL)
				time.Sleep(time.Duration(frng.IntN(1500)) * time.Millisecond)
				_ = w.start(h)
			case 1:
				w.signal(h, syscall.SIGSTOP)
				time.Sleep(time.Duration(300+frng.IntN(4000)) * time.Millisecond)
				w.signal(h, syscall.SIGCONT)
			case 2:
				o := w.fleet.workers[frng.IntN(len(w.fleet.workers))]
				o.crash()
				time.Sleep(time.Duration(50+frng.IntN(1500)) * time.Millisecond)
				_ = o.restart()
			default:
				w.signal(h, syscall.SIGTERM)
				_ = h.cmd.Wait()
				_ = w.start(h)
			}
		}
	}()
	for n := 0; time.Now().Before(end.Add(-8 * time.Second)); n++ {
		send(n)
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	}
	<-done
	time.Sleep(time.Until(end))
	_ = w.awaitReady(10 * time.Second)
	open := map[string]string{}
	for until := time.Now().Add(45 * time.Second); time.Now().Before(until); time.Sleep(time.Second) {
		clear(open)
		for _, id := range ids {
			if state := w.state(w.hosts[0], batchPrefix+id); state != "completed" {
				open[id] = state
			}
		}
		if len(open) == 0 {
			break
		}
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if len(w.fleet.twice) > 0 || len(open) > 0 {
		return fmt.Errorf("%w: %d jobs, twice %v, open %v", errBroken, len(ids), w.fleet.twice, open)
	}
	fmt.Println(len(ids), "jobs completed", len(w.rec.starts), "starts")
	return nil
}
