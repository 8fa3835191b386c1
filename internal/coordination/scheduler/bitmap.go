package scheduler

import "math/bits"

// wordBits is how many indexes a word of a bitmap holds.
const wordBits = 64

// bitmap is a set of the tasks of a job, by index.
type bitmap []uint64

// newBitmap returns an empty set for indexes below size.
func newBitmap(size int) bitmap { return make(bitmap, (size+wordBits-1)/wordBits) }

func (b bitmap) has(index int) bool { return b[index/wordBits]>>(index%wordBits)&1 != 0 }
func (b bitmap) add(index int)      { b[index/wordBits] |= 1 << (index % wordBits) }
func (b bitmap) remove(index int)   { b[index/wordBits] &^= 1 << (index % wordBits) }

// firstInNeither returns the lowest index that is in neither of two sets of the same size, from the
// word of the index start on. The index may be above the size that a set was made for, as sets are
// made of whole words.
func firstInNeither(one, other bitmap, start int) int {
	for word := start / wordBits; word < len(one); word++ {
		if free := ^(one[word] | other[word]); free != 0 {
			return word*wordBits + bits.TrailingZeros64(free)
		}
	}
	return len(one) * wordBits
}
