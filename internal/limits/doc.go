// Package limits holds every constant of quillshunt that is a matter of judgement or of the published
// protocol, with its unit and the reason for its value. What depends on a deployment is a function of
// its settings here.
//
// Times are time.Duration. Names that end in Share or Ratio are fractions without a unit, those in
// Factor multiples; others give their unit in the comment.
package limits
