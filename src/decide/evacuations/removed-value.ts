/** Value of the record that an entry was removed. The store's values are objects. */
export const removedValue = 'removed';
