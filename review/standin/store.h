/* The platform's metadata store: keyed topics with one partition. */
#ifndef REVIEW_STORE_H
#define REVIEW_STORE_H

/** store_start() - serve the store's calls in threads of their own */
void store_start(const char *address, int port);

/** store_put() - append a record, as the operator and the workers do
 * @value: empty to drop the key
 */
void store_put(const char *topic, const char *key, const char *value);

/** store_copy() - keep a copy of what the store holds now */
void store_copy(void);

/** store_set_down() - answer each call with 503 */
void store_set_down(void);

/** store_restore() - come back from the copy, in the next era */
void store_restore(void);

#endif
