package trial

// faulty reports whether the run's fault is present now.
func (s *sim) faulty() bool {
	at := s.now.Sub(begin)
	return at >= s.options.Duration/3 && at < 2*s.options.Duration/3
}

const slowFactor = 8

// startFault plans what goes wrong.
func (s *sim) startFault() {
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
		s.each(func(e *engine) { e.slow = slowFactor }, func(e *engine) { e.slow = 1 })
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
		s.each(func(e *engine) { e.refusing = true }, func(e *engine) { e.refusing = false })
	}
}

// each changes the first engine of each region, and changes it back.
func (s *sim) each(begin, end func(*engine)) {
	third := s.options.Duration / 3
	for _, engines := range s.engines {
		s.after(third, func() { begin(engines[0]) })
		s.after(2*third, func() { end(engines[0]) })
	}
}

func (s *sim) stopAll(engines []*engine) {
	for _, e := range engines {
		e.stop()
		s.list(e, false)
	}
}

func (s *sim) startAll(engines []*engine) {
	for _, e := range engines {
		e.start()
		s.list(e, true)
	}
}
