// Package speed estimates by which factor work takes longer on a target than normally.
//
// It addresses deployments in which some VMs are steadily slower than the others of their
// service, and the speed of each changes many times a second. Many processes choose
// targets by such estimates and see the same reports, so an estimate must not let all of
// them move to the target that has just reported well.
//
// An Estimate is the mean of the observed factors, weighted by their age, and of a prior
// of 1. It therefore moves only partly after few observations, and returns to 1 while
// there are none. Observations that follow each other closely count as parts of one.
//
// # Usage
//
//	e := speed.New(speed.Reported)
//	e.Observe(now, 2.5) // the target says that work takes 2.5 times as long
//	wait = time.Duration(float64(wait) * e.Factor(now))
package speed
