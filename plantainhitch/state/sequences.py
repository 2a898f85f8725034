"""A set of sequence numbers, kept as merged ranges.

Ids are used nearly in the order in which they were issued, so the used numbers form
few ranges and the set stays small.
"""

import bisect


class SequenceSet:
    """The numbers that were added, and every number below ``low_water``."""

    def __init__(self):
        self._low_water = 0
        # Half-open ranges [starts[i], ends[i]): sorted, disjoint and not adjacent.
        self._starts = []
        self._ends = []

    @property
    def low_water(self):
        """The low-water mark: every number below it is in the set."""
        return self._low_water

    @property
    def range_count(self):
        """The number of stored ranges."""
        return len(self._starts)

    def __contains__(self, number):
        if number < self._low_water:
            return True
        position = bisect.bisect_right(self._starts, number) - 1
        return position >= 0 and number < self._ends[position]

    def add(self, number):
        """Add ``number`` to the set."""
        if number in self:
            return
        position = bisect.bisect_right(self._starts, number)
        joins_left = position > 0 and self._ends[position - 1] == number
        joins_right = (
            position < len(self._starts) and self._starts[position] == number + 1
        )
        if joins_left and joins_right:
            self._ends[position - 1] = self._ends.pop(position)
            self._starts.pop(position)
        elif joins_left:
            self._ends[position - 1] = number + 1
        elif joins_right:
            self._starts[position] = number
        else:
            self._starts.insert(position, number)
            self._ends.insert(position, number + 1)

    def raise_low_water(self, number):
        """Raise the low-water mark to ``number``; the ranges below are dropped.

        A lower ``number`` than the present mark has no effect.
        """
        if number <= self._low_water:
            return
        self._low_water = number
        self.discard_below(number)

    def discard_below(self, number):
        """Remove the stored numbers below ``number``, without a change of the mark."""
        first_kept = bisect.bisect_right(self._ends, number)
        del self._starts[:first_kept]
        del self._ends[:first_kept]
        if self._starts and self._starts[0] < number:
            self._starts[0] = number
