"""Reading the platform's store for others: few machines of a zone watch it, all ask them.

A gateway or replica follows the store through :class:`yarrowwall.watching.store.ReaderStore`,
which asks one of the machines that run an :class:`yarrowwall.watching.reader.ObjectReader`.
"""
