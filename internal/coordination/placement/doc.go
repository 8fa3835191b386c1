// Package placement has the pure functions of the placement algorithm: ranking the machines that
// passed the filters, and choosing which tasks to preempt on the best one. They work on values and
// know neither machines nor jobs; package scheduler applies the filters and works out the scores.
//
// The algorithm is that of "An efficient cloud scheduler design supporting preemptible instances"
// (the paper), section 3.1. Its steps are found here and in package scheduler:
//
//   - Algorithm 2, Select Hosts: the placer's evaluate filters one machine on its full view or its
//     normal view and scores it on the full view.
//   - Algorithms 3 and 4, the rank functions: the Weighers.
//   - Section 4.1, the weighted sum of rescaled scores, and Best Host of Algorithm 2: Best.
//   - Algorithm 5, Select and Terminate: CheapestVictims.
//
// One thing is added for large fleets: ScoreGroups rank machines with the same scores once.
package placement
