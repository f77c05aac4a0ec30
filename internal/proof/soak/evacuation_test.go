package soak_test

import (
	"math/rand/v2"
	"time"
)

const (
	evacuationBound      = 5 * time.Second // bounds.evacuation_ms of the settings, by default
	contactTime          = 4 * time.Second // bounds.contact_ms
	evacuationsPerSecond = 0.15
)

// evacuation is a zone, and the time from its evacuation to the revocation.
type evacuation struct {
	zone string
	span
}

// planEvacuations draws evacuations of zones, which may overlap. They have their own random source, so that the other
// faults of a seed stay the same.
func (s *soak) planEvacuations(random *rand.Rand, duration time.Duration) []fault {
	var out []fault
	for at := 0.0; ; {
		at += random.ExpFloat64() / evacuationsPerSecond
		if at > duration.Seconds() {
			return out
		}
		zone := zoneNames[random.IntN(len(zoneNames))]
		d := evacuationBound + time.Duration(random.Float64()*float64(maxFaultDuration))
		out = append(out, fault{at: time.Duration(at * float64(time.Second)), duration: d, name: "evacuate " + zone,
			run: func(duration time.Duration) { s.exclusively(zone, func() { s.evacuate(zone, duration) }) }})
	}
}

func (s *soak) evacuate(zone string, duration time.Duration) {
	s.env.store.Evacuate(zone)
	from := time.Now()
	time.Sleep(duration)
	s.mu.Lock()
	s.evacuated = append(s.evacuated, evacuation{zone, span{from, time.Now()}})
	s.mu.Unlock()
	s.env.store.Revoke(zone)
}

// checkEvacuations checks that no upstream in an evacuated zone got a request from evacuationBound after the evacuation
// until its revocation, unless the store was disturbed in the last contactTime.
func (s *soak) checkEvacuations() {
	for _, v := range s.env.services {
		for _, u := range v.allLifetimes() {
			for _, a := range u.Arrivals() {
				for _, e := range s.evacuated {
					late := a.At.Sub(e.from)
					if v.zone != e.zone || late <= evacuationBound || !a.At.Before(e.to) || s.storeWasDisturbed(a.At.Add(-contactTime), a.At) {
						continue
					}
					s.problem("%s got %s %v after the evacuation of %s", u.ID, a.Target, late, e.zone)
				}
			}
		}
	}
}
