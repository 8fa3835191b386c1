package scheduler

import "math/bits"

// wordBits is the number of indexes that one word of a bitmap holds.
const wordBits = 64

// bitmap is a set of task indexes of one job.
type bitmap []uint64

// newBitmap returns an empty set that can hold the indexes from 0 to size-1.
func newBitmap(size int) bitmap { return make(bitmap, (size+wordBits-1)/wordBits) }

func (b bitmap) has(index int) bool { return b[index/wordBits]>>(index%wordBits)&1 != 0 }
func (b bitmap) add(index int)      { b[index/wordBits] |= 1 << (index % wordBits) }
func (b bitmap) remove(index int)   { b[index/wordBits] &^= 1 << (index % wordBits) }

// firstInNeither returns the lowest index that is in neither of two sets of the same size. It searches by
// whole words, from the word that contains start, so the result may be less than start. A result equal to
// or greater than the size of the sets means that there is no such index.
func firstInNeither(one, other bitmap, start int) int {
	for word := start / wordBits; word < len(one); word++ {
		if free := ^(one[word] | other[word]); free != 0 {
			return word*wordBits + bits.TrailingZeros64(free)
		}
	}
	return len(one) * wordBits
}
