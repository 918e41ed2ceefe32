package cactusfold.ports.http

import java.util.concurrent.atomic.AtomicLong

/**
 * Bounds the bytes that all holders of one kind keep in memory at a time. A single holder may
 * always keep bytes, however many, if there is no other.
 */
public class ByteBudget(private val maxBytes: Long) {
    private val used = AtomicLong()

    /** Bytes that are held now. */
    public val usedBytes: Long get() = used.get()

    /** Returns a share without bytes, which its holder has to close. */
    public fun share(): ByteShare = ByteShare(this)

    internal fun tryTake(bytes: Long, heldBytes: Long): Boolean {
        while (true) {
            val before = used.get()
            if (before > heldBytes && before + bytes > maxBytes) return false
            if (used.compareAndSet(before, before + bytes)) return true
        }
    }

    internal fun giveBack(bytes: Long) {
        used.addAndGet(-bytes)
    }
}

/** The bytes of a [ByteBudget] that one holder keeps. */
public class ByteShare internal constructor(private val budget: ByteBudget) : AutoCloseable {
    private var heldBytes = 0L

    /** Takes [bytes] more, or returns false if the budget does not allow it. */
    public fun tryTake(bytes: Int): Boolean {
        if (!budget.tryTake(bytes.toLong(), heldBytes)) return false
        heldBytes += bytes
        return true
    }

    /** Gives all bytes back. */
    override fun close() {
        budget.giveBack(heldBytes)
        heldBytes = 0
    }
}
