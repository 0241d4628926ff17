package trial

// faultActive reports whether the run's fault is active now.
func (s *sim) faultActive() bool {
	at := s.now.Sub(startTime)
	return at >= s.options.Duration/3 && at < 2*s.options.Duration/3
}

const slowFactor = 8

// scheduleFault schedules the start and the end of the run's fault.
func (s *sim) scheduleFault() {
	third := s.options.Duration / 3
	switch s.options.Fault {
	case RegionLost:
		s.after(third, func() { s.stopAll(s.engines[0]) })
		s.after(2*third, func() { s.startAll(s.engines[0]) })
	case ColdRestart:
		half := s.engines[0][:len(s.engines[0])/2]
		s.after(third, func() { s.stopAll(half) })
		s.after(third+listLag, func() { s.startAll(half) })
	case SlowEngine:
		s.changeFirstEngines(func(e *engine) { e.slowdown = slowFactor }, func(e *engine) { e.slowdown = 1 })
	case FailingService:
		for _, engines := range s.engines {
			for _, e := range engines {
				if e.kind == services {
					s.after(third, func() { e.failing = true })
					s.after(2*third, func() { e.failing = false })
				}
			}
		}
	case RefusingEngine:
		s.changeFirstEngines(func(e *engine) { e.refusing = true }, func(e *engine) { e.refusing = false })
	}
}

// changeFirstEngines changes the first engine of each region when the fault begins, and
// reverts the change when it ends.
func (s *sim) changeFirstEngines(onStart, onEnd func(*engine)) {
	third := s.options.Duration / 3
	for _, engines := range s.engines {
		s.after(third, func() { onStart(engines[0]) })
		s.after(2*third, func() { onEnd(engines[0]) })
	}
}

func (s *sim) stopAll(engines []*engine) {
	for _, e := range engines {
		e.stop()
		s.publishListChange(e, false)
	}
}

func (s *sim) startAll(engines []*engine) {
	for _, e := range engines {
		e.start()
		s.publishListChange(e, true)
	}
}
