// Package limits holds the constants that quillshunt is tuned by and those that the published protocol
// prescribes, each with its unit and the reason for its value. Values that depend on the settings of a
// deployment are computed by functions of this package.
//
// Times are of type time.Duration. Names that end in Share, Fraction, Ratio or Factor are plain numbers
// without a unit. The unit of everything else is given in its comment.
package limits
