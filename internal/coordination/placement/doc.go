// Package placement contains the pure functions of the placement algorithm: ranking the machines that
// passed the filters, and choosing which tasks to preempt on the best machine. They work on plain values
// and do not depend on the types for machines and jobs. Package scheduler applies the filters and computes
// the scores.
//
// The algorithm is that of "An efficient cloud scheduler design supporting preemptible instances" (called
// the paper below), section 3.1. Its steps are implemented here and in package scheduler:
//
//   - Algorithm 2, Select Hosts: the placer in package scheduler filters each machine on its full view,
//     which counts all its tasks, or its normal view, which leaves out preemptible tasks. It scores the
//     machine on the full view.
//   - Algorithms 3 and 4, the rank functions: Weigher.
//   - Section 4.1, the weighted sum of rescaled scores, and Best Host of Algorithm 2: BestCandidate.
//   - Algorithm 5, Select and Terminate: CheapestVictims.
//
// ScoreGroups is not part of the paper. It makes ranking faster in large fleets: machines with equal scores
// are ranked as one.
package placement
