package wakeup_test

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/wakeup"
)

func TestOneSuccessWakesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := wakeup.New()
		begun := time.Now()
		var wg sync.WaitGroup
		for range 3 {
			wg.Go(func() { s.Wait(t.Context(), 0, time.Second, time.Minute) })
		}
		time.Sleep(time.Second)
		s.Succeeded()
		wg.Wait()
		qt.Check(t, time.Since(begun), qt.Equals, time.Second)
		s.Wait(t.Context(), s.Count(), time.Second, 3*time.Second)
		qt.Check(t, time.Since(begun), qt.Equals, 4*time.Second, qt.Commentf("an earlier success does not end a later wait"))
		s.Wait(t.Context(), 0, time.Second, time.Minute)
		qt.Check(t, time.Since(begun), qt.Equals, 5*time.Second, qt.Commentf("there was a success since the count"))
	})
}
